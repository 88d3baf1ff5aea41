import {readText} from './command-input.js';
import {type Command} from './command.js';
import {explainLogs, type Explanation, type LogRecord} from './explain-logs.js';
import {formatTable} from './format-table.js';

/** File descriptor of the standard input. */
const standardInput = 0;

/** @internal */
export const logCommands: readonly Command[] = [
	{
		name: 'explain',
		usage: 'explain <id> <file>',
		description: 'Show what the logs in a file, or in the standard input (-), tell about a request, job, task, endpoint or machine; exit code 1 if nothing',
		example: 'explain 69d73a87f223d2f6 entries.log',
		run: ([id = '', file = '']) => explainLogs(id, readText(file === '-' ? standardInput : file)),
		format(result) {
			const {records, accounts, unreadableCount} = result as Explanation;
			return [
				...(accounts.length === 0 ? [] : [`Client account: ${accounts.join(', ')}.`]),
				records.length === 0 ? 'No line tells of it.' : formatTable(['time', 'entry', 'message', 'detail'], records.map(record => [record.time, record.entry ?? '', record.message, formatDetail(record)])),
				...(unreadableCount === 0 ? [] : [`${unreadableCount} lines name it and cannot be read.`]),
			].join('\n\n');
		},
		hasFailed: result => (result as Explanation).records.length === 0,
	},
];

/** Formats the fields that have no column of their own. */
function formatDetail({time, entry, message, level, incarnation, ...fields}: LogRecord): string {
	return Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
}
