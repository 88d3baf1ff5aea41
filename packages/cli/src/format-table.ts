const columnSeparator = '  ';

/** Formats rows below a heading; each column is as wide as its widest cell. @public */
export function formatTable(heading: readonly string[], rows: ReadonlyArray<readonly unknown[]>): string {
	const cells = [heading.map(title => title.toUpperCase()), ...rows.map(row => row.map(value => formatCell(value)))];
	const widths = heading.map((_, column) => Math.max(...cells.map(row => (row[column] ?? '').length)));
	return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join(columnSeparator).trimEnd()).join('\n');
}

/** Formats the fields of a result, one per line; undefined fields are omitted. @public */
export function formatFields(fields: Readonly<Record<string, unknown>>): string {
	const shown = Object.entries(fields).filter(([, value]) => value !== undefined);
	const width = Math.max(0, ...shown.map(([name]) => name.length));
	return shown.map(([name, value]) => `${name.padEnd(width)}${columnSeparator}${formatCell(value)}`).join('\n');
}

/** Formats a Unix time in milliseconds; a dash stands for undefined or 0. @public */
export function formatTime(time: number | undefined): string {
	return time === undefined || time === 0 ? '-' : new Date(time).toISOString().replace(/\.\d+Z$/u, 'Z');
}

function formatCell(value: unknown): string {
	const text = typeof value === 'string' ? value : JSON.stringify(value ?? '');
	// Replaces control characters, so that text from the store or the platform cannot send escape sequences to the terminal.
	return text === '' || text === '""' ? '-' : text.replaceAll(/\p{Cc}/gu, '?');
}
