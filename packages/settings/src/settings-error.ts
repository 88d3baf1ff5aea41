/** A settings file or bundle has faults. The message lists all of them, one a line. @public */
export class SettingsError extends Error {
	override readonly name = 'SettingsError';
	readonly faults: readonly string[];

	constructor(file: string, faults: readonly string[], options?: ErrorOptions) {
		super(faults.map(fault => `${file}: ${fault}`).join('\n'), options);
		this.faults = faults;
	}
}
