/** A command could not be executed. @public */
export class CliError extends Error {
	override readonly name = 'CliError';
	/** 1 for a failure, 2 for invalid usage. */
	readonly exitCode: 1 | 2;

	constructor(exitCode: 1 | 2, message: string, options?: ErrorOptions) {
		super(message, options);
		this.exitCode = exitCode;
	}
}
