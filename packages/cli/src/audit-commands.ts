import {callEntry} from './call-entry.js';
import {getCallOptions, parseSince} from './command-input.js';
import {type Command} from './command.js';
import {formatTable, formatTime} from './format-table.js';

type AuditAnswer = {
	readonly records: ReadonlyArray<{
		readonly at: number;
		readonly entry: string;
		readonly by: string;
		readonly action: string;
		readonly subject: string;
		readonly result: string;
		readonly detail: string;
	}>;
	readonly isTruncated: boolean;
	readonly faults: readonly string[];
};

/** @internal */
export const auditCommands: readonly Command[] = [
	{
		name: 'audit',
		usage: 'audit',
		description: 'Show changes and refusals, and check that no record was removed or altered; exit code 1 if one was',
		example: 'audit --since 2h --pool badge-desk --entry 10.0.0.1:8080 --operator ana --key ana.pem',
		options: ['since', 'pool'],
		run: async (_values, options) => callEntry(getCallOptions(options), {
			command: 'audit', since: options.since === undefined ? undefined : parseSince(options.since, Date.now()), pool: options.pool,
		}),
		format(result) {
			const {records, isTruncated, faults} = result as AuditAnswer;
			return [
				formatTable(
					['time', 'by', 'action', 'subject', 'result', 'detail', 'entry'],
					records.map(record => [formatTime(record.at), record.by, record.action, record.subject, record.result, record.detail, record.entry]),
				),
				...(isTruncated ? ['Only the latest records are shown; narrow the selection with --since or --pool.'] : []),
				faults.length === 0 ? 'The chains of all entries are whole.' : `Faults in the chains:\n${faults.join('\n')}`,
			].join('\n\n');
		},
		hasFailed: result => (result as AuditAnswer).faults.length > 0,
	},
];
