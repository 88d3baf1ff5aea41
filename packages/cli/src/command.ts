/** Values of the options on the command line, by name. @public */
export type CommandOptions = Readonly<Record<string, string | undefined>>;

/** Executes a command with its positional arguments and options and returns its result. @public */
export type CommandHandler = (values: readonly string[], options: CommandOptions) => Promise<unknown> | unknown;

/** A command of the command line. @public */
export type Command = {
	readonly name: string;
	readonly usage: string;
	readonly description: string;
	readonly example: string;
	/** Options in addition to those of every command. */
	readonly options?: readonly string[];
	readonly run: CommandHandler;
	/** Formats the result as readable text; the default lists its fields. */
	readonly format?: (result: unknown) => string;
	/** Whether the result reports a failure although the command itself succeeded; the exit code is then 1. */
	readonly hasFailed?: (result: unknown) => boolean;
};
