import {type EntryId} from '@pistachiogauge/model';

/** State of the reply filter. @public */
export type ReplyState = {
	/** Entry that forwarded an operator's call, by call id. */
	readonly callOrigins: Map<string, EntryId>;
	/** The readiness last reported to the process. */
	isReady: boolean;
	/** Monotonic time at which the shutdown was requested. */
	shutdownAt: number | undefined;
	/** Whether the shutdown has finished, so that the process is about to stop. */
	hasStopped: boolean;
};

/** @internal */
export function createReplyState(): ReplyState {
	return {
		callOrigins: new Map(), isReady: false, shutdownAt: undefined, hasStopped: false,
	};
}
