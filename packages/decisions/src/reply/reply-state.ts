import {type EntryId} from '@pistachiogauge/model';

/** State of the reply filter. @public */
export type ReplyState = {
	/** Entry that forwarded an operator's call, by call id. */
	readonly callOrigins: Map<string, EntryId>;
	isReady: boolean;
	shutdownAt: number | undefined;
	hasStopped: boolean;
};

/** @internal */
export function createReplyState(): ReplyState {
	return {
		callOrigins: new Map(), isReady: false, shutdownAt: undefined, hasStopped: false,
	};
}
