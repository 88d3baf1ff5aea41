import {admissionWorkRatios} from '@pistachiogauge/jobs';
import {createTableSchema, decodeValue} from '@pistachiogauge/platform';
import {z} from 'zod';

/**
Schemas of the project's own records in the platform's store.

A record may come from an entry of another version, or be damaged. Lists that a later version has added are empty in records of an earlier one; a record that lacks anything else is ignored by its reader.
*/

const count = z.number().int().nonnegative();
const resources = z.object({cpuMillis: z.number().nonnegative(), memoryMb: z.number().nonnegative(), gpus: z.number().nonnegative()});
const runId = z.object({taskId: z.string(), run: count});
/** A list of names that earlier versions did not write. */
const addedNames = z.array(z.string()).default([]);

const peerServer = z.object({address: z.string().regex(/^[\d.]{7,15}:\d{1,5}$/u), secret: z.string().min(1).max(200)});

const step = z.object({
	count,
	room: resources,
	estimateMs: z.number().nonnegative(),
	after: z.array(count),
	isCheckpointing: z.boolean(),
	isGang: z.boolean(),
	isSameRack: z.boolean(),
	requiredLabel: z.string().optional(),
	dataRack: z.string().optional(),
	endpointLimit: z.number().positive().optional(),
	mayDuplicate: z.boolean(),
	isLongRunning: z.boolean(),
	image: z.string(),
	tailTargetMs: z.number().optional(),
	isFiller: z.boolean(),
	missLimit: z.number().optional(),
});

const durationModel = z.object({
	count, meanLogEstimate: z.number(), meanLogDuration: z.number(), variance: z.number().nonnegative(), covariance: z.number(),
});
/** A wait in ms for each ratio of work. */
const waits = z.array(z.number().nonnegative()).length(admissionWorkRatios.length);

/** By kind of record. @internal */
export const recordSchemas = {
	member: z.object({
		incarnation: z.string(),
		weight: z.number().positive(),
		// An entry whose address cannot be read is still a member.
		peerServer: z.unknown().optional().transform(value => decodeValue(peerServer, value)),
	}),
	holder: z.object({node: z.string(), incarnation: z.string()}),
	job: z.object({
		id: z.string(),
		queue: z.string(),
		pool: z.string(),
		spec: z.object({
			payload: z.string(), steps: z.array(step).min(1), repeatCount: count, startAtMs: z.number(), intervalMs: z.number(),
		}),
		priority: z.number(),
		attempts: z.number(),
		stretch: z.number(),
		latencyTargetMs: z.number(),
		advice: z.object({decideMs: z.number(), eachMs: z.number(), validMs: z.number()}).optional(),
		account: z.string().optional(),
		acceptedAt: z.number(),
	}),
	jobLocation: z.object({
		pool: z.string(), queue: z.string(), host: z.string(), prefix: z.string(), account: z.string().optional(), isCancelled: z.boolean().optional(),
	}),
	progress: z.object({
		queue: z.string(),
		account: z.string().optional(),
		status: z.enum(['queued', 'running', 'done', 'failed', 'cancelled']),
		steps: createTableSchema(z.string()),
		doneOccurrences: count.optional(),
		failedRuns: createTableSchema(z.array(count)).optional(),
		lastRun: count,
		endedAt: z.number().optional(),
	}),
	roster: z.object({endpointIds: z.array(z.string()), silentRuns: createTableSchema(z.array(runId)).optional(), processes: createTableSchema(z.number()).optional()}),
	report: z.object({
		pool: z.string(),
		confirmedAt: z.number().default(0),
		waiting: createTableSchema(count),
		backlogMillis: z.number(),
		hasWork: z.boolean(),
		usedMillis: z.number(),
		neededMillis: z.number(),
		arrivingMillis: z.number(),
		endpointMinimum: count,
		usableEndpoints: addedNames,
		idleEndpoints: addedNames,
		servingEndpoints: addedNames,
		releasableEndpoints: addedNames,
		neededEndpoints: addedNames,
		durationModels: createTableSchema(durationModel).default({}),
	}),
	evacuationRequest: z.object({
		requestId: z.string(), pool: z.string(), endpointId: z.string(), machine: z.string(), purpose: z.enum(['maintenance', 'move']), dueAt: z.number(),
	}),
	evacuated: z.object({requestId: z.string()}),
	wave: z.object({maintained: addedNames, isDone: z.boolean()}),
	admission: z.object({
		publishedAt: z.number(),
		configurationVersion: z.number(),
		queues: createTableSchema(z.object({
			meanWork: z.number().positive(), durations: durationModel.optional(), waits: createTableSchema(z.object({timely: waits, total: waits})),
		})),
		fullMs: z.number().nonnegative().optional(),
	}),
	recentOrders: z.object({token: count, machines: z.array(z.string())}),
	shares: z.object({
		cap: resources,
		pools: createTableSchema(z.object({
			share: resources, wanted: resources, unit: resources.optional(), unitSince: z.number().optional(),
		})),
	}),
	demandHistory: z.object({
		history: z.array(z.object({
			pool: z.string(), assignedMachines: count, since: z.number(), hasPeaked: z.boolean(),
		})).default([]),
	}),
} as const;
