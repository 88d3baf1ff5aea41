/** Options as the command line gives them. @public */
export type CommandOptions = Readonly<Record<string, string | undefined>>;

/** Carries out a command and returns its result. @public */
export type CommandHandler = (values: readonly string[], options: CommandOptions) => Promise<unknown> | unknown;

/** One command of the program. @public */
export type Command = {
	readonly name: string;
	readonly usage: string;
	readonly description: string;
	readonly example: string;
	/** Options besides those that every command takes. */
	readonly options?: readonly string[];
	readonly run: CommandHandler;
	/** Turns the result into text for people; the default lists its fields. */
	readonly format?: (result: unknown) => string;
	/** Whether the result shows a failure although the command was carried out. */
	readonly hasFailed?: (result: unknown) => boolean;
};
