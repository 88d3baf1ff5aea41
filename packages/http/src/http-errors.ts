import {type OutcomeReason} from '@pistachiogauge/model';

/** A caller's request is refused before anything was run. @public */
export class HttpRequestError extends Error {
	override readonly name = 'HttpRequestError';
	readonly reason: OutcomeReason;

	constructor(reason: OutcomeReason, message: string) {
		super(message);
		this.reason = reason;
	}
}

/** The server could not listen; the message names the address. @public */
export class ListenError extends Error {
	override readonly name = 'ListenError';
}
