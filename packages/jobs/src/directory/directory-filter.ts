import {passEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {type Endpoint} from '../model/index.js';

/** How long the last process of an endpoint is remembered that is no longer listed; longer than an order on its way can take effect. */
const processMemoryMs = 60_000;

/** Registered endpoints. @public */
export type DirectoryState = {
	readonly endpoints: Map<string, Endpoint>;
	/** When the whole list was last read, in monotonic ms; undefined before the first time. */
	listedAt: number | undefined;
	/** The last listed process of each endpoint, also of one that is no longer listed. */
	readonly processes: Map<string, ListedProcess>;
};

/** A process of an endpoint as the directory lists it. @public */
export type ListedProcess = {
	/** Unix ms at which it started. */
	readonly startedAt: number;
	/** When this entry learned that it has replaced another process under the same id, in monotonic ms; undefined if it has not. */
	readonly replacedAt: number | undefined;
	/** When the endpoint was last recorded or removed, in monotonic ms. */
	readonly changedAt: number;
};

/** Read-only view of the directory for other filters. @public */
export type DirectoryView = {
	readonly directory: {
		readonly endpoints: ReadonlyMap<string, Endpoint>;
		readonly listedAt: number | undefined;
		readonly processes: ReadonlyMap<string, ListedProcess>;
	};
};

/** @public */
export function createDirectoryState(): DirectoryState {
	return {endpoints: new Map(), listedAt: undefined, processes: new Map()};
}

/** Keeps the list of registered endpoints up to date. @public */
export const directoryFilter: JobFilter<{readonly directory: DirectoryState}> = {
	name: 'directory',
	handlers: {
		'endpoints-listed'({directory}, {endpoints}, context) {
			const listed = new Set(endpoints.map(endpoint => endpoint.id));
			const outputs = [
				...endpoints.flatMap(endpoint => recordEndpoint(directory, endpoint, context)),
				...[...directory.endpoints.keys()]
					.filter(id => !listed.has(id))
					.flatMap(id => removeEndpoint(directory, id, context)),
			];
			directory.listedAt = context.now;
			return outputs;
		},
		'endpoint-changed': ({directory}, {endpoint}, context) => recordEndpoint(directory, endpoint, context),
		'endpoint-removed': ({directory}, {endpointId}, context) => removeEndpoint(directory, endpointId, context),
	},
};

function recordEndpoint(directory: DirectoryState, endpoint: Endpoint, context: DecisionContext): JobOutput[] {
	const known = directory.endpoints.get(endpoint.id);
	if (known !== undefined && isLateRecord(endpoint, known)) {
		return [emitLog('info', 'record of draining endpoint from before its drain ignored', {endpoint: endpoint.id, bornAt: endpoint.startedAt, drainingBornAt: known.startedAt})];
	}

	directory.endpoints.set(endpoint.id, endpoint);
	recordProcess(directory, endpoint, context);
	if (known?.state === endpoint.state && known.startedAt === endpoint.startedAt && known.pool === endpoint.pool && known.address === endpoint.address) {
		return [];
	}

	return [
		emitLog('info', 'endpoint record added or changed', {
			endpoint: endpoint.id, pool: endpoint.pool, state: endpoint.state, before: known?.state, bornAt: endpoint.startedAt, remainingMs: endpoint.remainingMs, at: context.wallTime,
		}),
		passEvent({kind: 'placement-due', pool: endpoint.pool}),
	];
}

/** Whether an endpoint wrote a record before it began to drain, as a process that drains does not get ready again. A start time of 0 is not known. */
function isLateRecord({state, startedAt}: Endpoint, known: Endpoint): boolean {
	return known.state === 'draining' && state === 'ready' && startedAt > 0 && startedAt <= known.startedAt;
}

/** Records which process of an endpoint is listed. */
function recordProcess({processes}: DirectoryState, {id, startedAt}: Endpoint, {now}: DecisionContext): void {
	const known = processes.get(id);
	const isLater = known !== undefined && startedAt > known.startedAt;
	processes.set(id, {startedAt: Math.max(startedAt, known?.startedAt ?? 0), replacedAt: isLater ? now : known?.replacedAt, changedAt: now});
}

function removeEndpoint(directory: DirectoryState, id: string, {now}: DecisionContext): JobOutput[] {
	const known = directory.endpoints.get(id);
	directory.endpoints.delete(id);
	const process = directory.processes.get(id);
	if (process !== undefined) {
		directory.processes.set(id, {...process, changedAt: now});
	}

	forgetProcesses(directory, now);
	return known === undefined ? [] : [emitLog('info', 'endpoint record removed', {endpoint: id, pool: known.pool, state: known.state})];
}

/** Forgets processes of endpoints that have not been listed for so long that no order to an earlier one can take effect. */
function forgetProcesses({endpoints, processes}: DirectoryState, now: number): void {
	for (const [id, {changedAt}] of processes) {
		if (!endpoints.has(id) && now > changedAt + processMemoryMs) {
			processes.delete(id);
		}
	}
}
