import {type Resources} from './resources.js';

/** @public */
export type EndpointState = 'ready' | 'draining';

/** An endpoint, as registered by itself. @public */
export type Endpoint = {
	readonly id: string;
	readonly pool: string;
	readonly address: string;
	readonly zone: string;
	readonly state: EndpointState;
	readonly capacity: Resources;
	/** The endpoint's kind, then its rack. */
	readonly labels: readonly string[];
	readonly rack: string;
	/** Unix ms at which its process started; another value under the same id means that it has restarted. */
	readonly startedAt: number;
	/** Minimum time in ms until a draining endpoint leaves; undefined for others. */
	readonly remainingMs: number | undefined;
};

/** A run that an endpoint reports as running. @public */
export type ReportedRun = {
	readonly taskId: string;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
	/** Tail latency in ms for a serving task, CPU use in thousandths of a core for any other. */
	readonly load: number;
};

/** How a run ended, in the platform's words. Only `done` and `failed` say something about the task itself; after any other it runs again. `stopped` follows a stop order, `lapsed` the expiry of the endpoint's lease. @public */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** The end of a run, as listed by its endpoint. @public */
export type ReportedEnd = {
	/** Sequence number; increases until the endpoint restarts. */
	readonly number: number;
	readonly taskId: string;
	readonly run: number;
	readonly outcome: RunOutcome;
	readonly checkpoint: string;
};
