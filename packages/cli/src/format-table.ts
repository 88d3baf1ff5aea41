const gap = '  ';

/** Formats rows under a heading in columns as wide as their widest cell. @public */
export function formatTable(heading: readonly string[], rows: ReadonlyArray<readonly unknown[]>): string {
	const cells = [heading.map(title => title.toUpperCase()), ...rows.map(row => row.map(value => formatCell(value)))];
	const widths = heading.map((_, column) => Math.max(...cells.map(row => (row[column] ?? '').length)));
	return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join(gap).trimEnd()).join('\n');
}

/** Formats the fields of a result, one a line; those that are absent are left out. @public */
export function formatFields(fields: Readonly<Record<string, unknown>>): string {
	const shown = Object.entries(fields).filter(([, value]) => value !== undefined);
	const width = Math.max(0, ...shown.map(([name]) => name.length));
	return shown.map(([name, value]) => `${name.padEnd(width)}${gap}${formatCell(value)}`).join('\n');
}

/** Formats a Unix time in milliseconds; a dash when there is none. @public */
export function formatTime(time: number | undefined): string {
	return time === undefined || time === 0 ? '-' : new Date(time).toISOString().replace(/\.\d+Z$/u, 'Z');
}

function formatCell(value: unknown): string {
	const text = typeof value === 'string' ? value : JSON.stringify(value ?? '');
	// Text from the store or the platform must not move the terminal's cursor.
	return text === '' || text === '""' ? '-' : text.replaceAll(/\p{Cc}/gu, '?');
}
