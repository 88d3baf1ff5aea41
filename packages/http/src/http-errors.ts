import {type OutcomeReason} from '@pistachiogauge/model';

/** A caller's request is not acceptable. Nothing was run. @public */
export class HttpRequestError extends Error {
	override readonly name = 'HttpRequestError';
	readonly reason: OutcomeReason;

	constructor(reason: OutcomeReason, message: string) {
		super(message);
		this.reason = reason;
	}
}

/** A listener could not be opened. The message names the address. @public */
export class ListenError extends Error {
	override readonly name = 'ListenError';
}
