import {type StoreItem} from '@pistachiogauge/platform';
import {type Logger} from '@pistachiogauge/telemetry';

/** Reports that a record was left out because it cannot be decoded. @internal */
export type IgnoredItemReporter = (item: StoreItem) => void;

/** Interval in which a limited number of lines is logged for each kind of record: a writer may write its record again all the time. */
const windowMs = 10_000;
const linesPerWindow = 5;
/** Length to which keys are cut in log lines. */
const maxKeyLength = 200;

type Window = {startedAt: number; lineCount: number; unreportedCount: number};

/** Creates a reporter that counts each ignored record and logs some of them. @internal */
export function createIgnoredItemReporter({log, count, getNow}: {readonly log: Logger; readonly count: (metric: string) => void; readonly getNow: () => number}): IgnoredItemReporter {
	const windows = new Map<string, Window>();
	return ({key, revision, value}) => {
		// The first part of a key is one of the prefixes that are watched.
		const source = key.split('/', 1)[0]!;
		count(`records_ignored_total{source="${source}"}`);
		const now = getNow();
		const window = windows.get(source) ?? {startedAt: now, lineCount: 0, unreportedCount: 0};
		windows.set(source, window);
		if (now >= window.startedAt + windowMs) {
			window.startedAt = now;
			window.lineCount = 0;
		}

		if (window.lineCount >= linesPerWindow) {
			window.unreportedCount += 1;
			return;
		}

		window.lineCount += 1;
		log('warn', 'record ignored, as it cannot be decoded', {
			key: key.slice(0, maxKeyLength), revision, length: value?.length ?? 0, notLogged: window.unreportedCount,
		});
		window.unreportedCount = 0;
	};
}
