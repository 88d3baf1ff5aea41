import {passEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {type Endpoint} from '../model/index.js';

/** Registered endpoints. @public */
export type DirectoryState = {
	readonly endpoints: Map<string, Endpoint>;
	/** When the whole list was last read, in monotonic ms; undefined before the first time. */
	listedAt: number | undefined;
};

/** Read-only view of the directory for other filters. @public */
export type DirectoryView = {
	readonly directory: {readonly endpoints: ReadonlyMap<string, Endpoint>; readonly listedAt: number | undefined};
};

/** @public */
export function createDirectoryState(): DirectoryState {
	return {endpoints: new Map(), listedAt: undefined};
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
					.flatMap(id => removeEndpoint(directory, id)),
			];
			directory.listedAt = context.now;
			return outputs;
		},
		'endpoint-changed': ({directory}, {endpoint}, context) => recordEndpoint(directory, endpoint, context),
		'endpoint-removed': ({directory}, {endpointId}) => removeEndpoint(directory, endpointId),
	},
};

function recordEndpoint(directory: DirectoryState, endpoint: Endpoint, context: DecisionContext): JobOutput[] {
	const known = directory.endpoints.get(endpoint.id);
	if (known !== undefined && isLateRecord(endpoint, known)) {
		return [emitLog('info', 'record of draining endpoint from before its drain ignored', {endpoint: endpoint.id, bornAt: endpoint.startedAt, drainingBornAt: known.startedAt})];
	}

	directory.endpoints.set(endpoint.id, endpoint);
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

function removeEndpoint(directory: DirectoryState, id: string): JobOutput[] {
	const known = directory.endpoints.get(id);
	directory.endpoints.delete(id);
	return known === undefined ? [] : [emitLog('info', 'endpoint record removed', {endpoint: id, pool: known.pool, state: known.state})];
}
