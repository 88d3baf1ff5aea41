import {z} from 'zod';

/** A line of an entry's log. @public */
export type LogRecord = {
	/** ISO 8601, as written. */
	readonly time: string;
	readonly message: string;
	readonly entry?: string | undefined;
	readonly level?: string | undefined;
	readonly incarnation?: string | undefined;
} & Readonly<Record<string, unknown>>;

/** What the logs tell about an id. @public */
export type Explanation = {
	/** In the order of their time. */
	readonly records: readonly LogRecord[];
	/** Client accounts that the lines name: of one job, its account and those whose callers asked for it. */
	readonly accounts: readonly string[];
	/** Number of lines that name the id and are not log records. */
	readonly unreadableCount: number;
};

const recordSchema = z.looseObject({
	time: z.string(), message: z.string(), entry: z.string().optional(), level: z.string().optional(), incarnation: z.string().optional(),
});

/** Lines about an endpoint that matter to a job whose tasks run there. */
const endpointMessages: ReadonlySet<string> = new Set([
	'endpoint stopped answering',
	'endpoint restarted',
	'lease of endpoint expired',
	'endpoint excluded from placement for a while',
	'another endpoint answers at the address',
	'evacuation of endpoint completed',
	'supervised endpoint no longer listed in its pool',
]);
/** Messages after which a task no longer runs on the endpoint that it was placed on. */
const endMessages: ReadonlySet<string> = new Set(['run confirmed not running', 'run of task failed', 'job ended']);

/**
Finds the lines of entries' logs that tell what happened to a request, job, task, endpoint or machine.

A request leads to its job. A job or task leads to its endpoints: what happened to them while they ran its tasks is included.

@param text - Lines of any number of entries, in any order. A line may have text before its record, as log collectors add it.
@public
*/
export function explainLogs(id: string, text: string): Explanation {
	const lines = text.split('\n');
	const ids = new Set([id]);
	const direct = lines.filter(line => line.includes(id)).map(line => parseRecord(line));
	for (const record of direct) {
		if (record?.request === id && typeof record.job === 'string' && record.job !== '') {
			ids.add(record.job);
		}
	}

	const selected = ids.size === 1 ? direct : lines.filter(line => [...ids].some(each => line.includes(each))).map(line => parseRecord(line));
	const records = sortByTime(selected.filter(record => record !== undefined).filter(record => [...ids].some(each => isAbout(record, each))));
	const stays = listStays(records);
	const related = stays.size === 0
		? []
		: lines.filter(line => [...endpointMessages].some(message => line.includes(message)))
			.map(line => parseRecord(line))
			.filter(record => record !== undefined)
			.filter(record => isDuringStay(stays, record));
	return {
		records: sortByTime([...new Map([...records, ...related].map(record => [JSON.stringify(record), record])).values()]),
		accounts: [...new Set(records.map(({account}) => account).filter(account => typeof account === 'string'))],
		unreadableCount: selected.filter(record => record === undefined).length,
	};
}

function parseRecord(line: string): LogRecord | undefined {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const parsed = recordSchema.safeParse(JSON.parse(line.slice(start)));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

/** Whether a value of a record is the id, or the id of a part, such as a task of a job. */
function isAbout(value: unknown, id: string): boolean {
	if (typeof value === 'string') {
		return value === id || value.startsWith(`${id}.`);
	}

	return typeof value === 'object' && value !== null && Object.values(value).some(part => isAbout(part, id));
}

function sortByTime(records: readonly LogRecord[]): LogRecord[] {
	return [...records].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
}

type Stay = {readonly from: number; to: number};

/** Lists by endpoint when tasks of the records ran there. */
function listStays(records: readonly LogRecord[]): Map<string, Stay[]> {
	const stays = new Map<string, Stay[]>();
	const openByTask = new Map<string, Stay>();
	for (const record of records) {
		const at = Date.parse(record.time);
		if (record.message === 'task placed' && typeof record.endpoint === 'string' && typeof record.task === 'string') {
			endStay(openByTask, record.task, at);
			const stay: Stay = {from: at, to: Number.POSITIVE_INFINITY};
			openByTask.set(record.task, stay);
			stays.set(record.endpoint, [...stays.get(record.endpoint) ?? [], stay]);
		}

		if (endMessages.has(record.message)) {
			for (const task of typeof record.task === 'string' ? [record.task] : [...openByTask.keys()]) {
				endStay(openByTask, task, at);
			}
		}
	}

	return stays;
}

function endStay(openByTask: Map<string, Stay>, task: string, at: number): void {
	const stay = openByTask.get(task);
	if (stay !== undefined) {
		stay.to = at;
		openByTask.delete(task);
	}
}

function isDuringStay(stays: ReadonlyMap<string, readonly Stay[]>, {endpoint, time}: LogRecord): boolean {
	const at = Date.parse(time);
	return typeof endpoint === 'string' && (stays.get(endpoint) ?? []).some(({from, to}) => at >= from && at <= to);
}
