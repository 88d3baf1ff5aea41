import {type JobSpec, type PlacementQuestion} from '@pistachiogauge/jobs';
import {
	decodeJob, decodeValue, describeFault, describeJobFault, normalizeHost, parseJson, type FieldFault,
} from '@pistachiogauge/platform';
import {z} from 'zod';
import {recordSchemas} from './record-schemas.js';

/** Path on the peer server that explains where a job would be placed. @internal */
export const placementPath = '/placement';

/** Limit on the encoded question, which is checked field by field. A job's record has about 6 KB. @internal */
export const maxPlacementBytes = 65_536;

const maxNameLength = 200;
const maxPathLength = 4096;
/** As many as callers may send; the explanation creates each of them. */
const maxTasksPerJob = 20_000;
/** A record of 6 KB holds fewer. It bounds the answer, which lists each step. */
const maxSteps = 200;

function hasOneTarget(hasQueue: boolean, hasHostAndPath: readonly boolean[]): boolean {
	return hasQueue ? !hasHostAndPath.includes(true) : !hasHostAndPath.includes(false);
}

const questionSchema = z.object({
	queue: z.string().max(maxNameLength).optional(),
	host: z.string().max(maxNameLength).optional(),
	path: z.string().max(maxPathLength).optional(),
	account: z.string().max(maxNameLength).optional(),
	job: z.looseObject({}),
}).refine(({queue, host, path}) => hasOneTarget(queue !== undefined, [host, path].map(text => text !== undefined)), {path: ['queue'], error: 'expected either a queue, or a host and a path'});

type Question = z.output<typeof questionSchema>;

const specSchema = recordSchemas.job.shape.spec
	.refine(({steps}) => steps.every(({count}) => count > 0), {path: ['steps'], error: 'a step has at least one task'})
	.refine(({steps}) => steps.every(({after}, index) => after.every(before => before < index)), {path: ['steps'], error: 'a step may depend on earlier steps only'})
	.refine(({steps}) => steps.reduce((sum, {count}) => sum + count, 0) <= maxTasksPerJob, {path: ['steps'], error: `a job has at most ${maxTasksPerJob} tasks`});

/** How a job is written: as in the project's own records, or as callers send it. */
type JobForm = 'record' | 'caller';

const formHandlers: Readonly<Record<JobForm, {readonly decode: (job: unknown) => JobSpec | undefined; readonly describe: (job: unknown) => FieldFault | undefined}>> = {
	record: {decode: job => decodeValue(specSchema, job) as JobSpec | undefined, describe: job => describeFault(specSchema, job)},
	caller: {decode: decodeJob, describe: describeJobFault},
};

/** Decodes a question about the placement of a job, or tells which field is at fault. @internal */
export function decodePlacementQuestion(body: Uint8Array): {readonly question: PlacementQuestion} | {readonly fault: FieldFault} {
	const value = parseJson(Buffer.from(body).toString('utf8'));
	if (value === undefined) {
		return {fault: {field: '', message: 'expected JSON'}};
	}

	const data = decodeValue(questionSchema, value);
	if (data === undefined) {
		return {fault: describeFault(questionSchema, value)!};
	}

	const {account, job} = data;
	const form = formHandlers['steps' in job ? 'record' : 'caller'];
	const spec = form.decode(job);
	if (spec === undefined) {
		const {field, message} = form.describe(job)!;
		return {fault: {field: field === '' ? 'job' : `job.${field}`, message}};
	}

	if (spec.steps.length > maxSteps) {
		return {fault: {field: 'job', message: `an explanation covers at most ${maxSteps} steps`}};
	}

	return {question: {target: getTarget(data), account, spec}};
}

function getTarget({queue, host = '', path = ''}: Question): PlacementQuestion['target'] {
	return queue === undefined ? {host: normalizeHost(host), path} : {queue};
}
