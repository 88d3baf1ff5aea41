/** Thrown when a settings file or bundle is invalid. The message lists all issues, one per line. @public */
export class SettingsError extends Error {
	override readonly name = 'SettingsError';
	readonly issues: readonly string[];

	constructor(file: string, issues: readonly string[], options?: ErrorOptions) {
		super(issues.map(issue => `${file}: ${issue}`).join('\n'), options);
		this.issues = issues;
	}
}
