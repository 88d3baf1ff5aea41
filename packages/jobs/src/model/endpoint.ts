import {type Resources} from './room.js';

/** @public */
export type EndpointState = 'ready' | 'draining';

/** An endpoint as it registered itself. @public */
export type Endpoint = {
	readonly id: string;
	readonly pool: string;
	readonly address: string;
	readonly zone: string;
	readonly state: EndpointState;
	readonly capacity: Resources;
	/** Kind and rack. */
	readonly labels: readonly string[];
	readonly rack: string;
	/** Unix ms of its start; another value under the same id is another life. */
	readonly startedAt: number;
	/** While it drains: least time in ms until it leaves. */
	readonly remainingMs: number | undefined;
};

/** A task that an endpoint says it runs. @public */
export type ReportedRun = {
	readonly taskId: string;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
	/** Tail of the response times in ms for a serving task, thousandths of a core in use for another. */
	readonly load: number;
};

/** @public */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** The end of a run as an endpoint lists it. @public */
export type ReportedEnd = {
	/** Rises within the endpoint's life. */
	readonly number: number;
	readonly taskId: string;
	readonly run: number;
	readonly outcome: RunOutcome;
	readonly checkpoint: string;
};
