import {type Clocks, type Configuration, type JobEvent} from '@pistachiogauge/jobs';
import {configurationKey, type StoreClient} from '@pistachiogauge/platform';
import {type Logger} from '@pistachiogauge/telemetry';
import {type ConfigurationDecoder} from './configuration-decoder.js';
import {type IgnoredItemReporter} from './report-ignored-items.js';

/** @internal */
export type ConfigurationReaderOptions = {
	readonly store: Pick<StoreClient, 'readItem'>;
	readonly decodeItem: ConfigurationDecoder;
	/** Time in ms after which no entry may accept a removed key; undefined where revocation is not strict, so that nothing is read. */
	readonly strictRevokeMs: number | undefined;
	/** The configuration in use. */
	readonly getConfiguration: () => Configuration | undefined;
	readonly getClocks: () => Clocks;
	readonly pushEvent: (event: JobEvent) => void;
	readonly reportIgnoredItem: IgnoredItemReporter;
	readonly log: Logger;
};

/** Reads the operator's configuration again and again while its age matters. @internal */
export type ConfigurationReader = {
	/** Has the configuration read at once if it has accounts and is not being read already. */
	handleConfigurationChanged(): void;
	stop(): void;
};

/** Interval of the reads, unless the time for a revocation is so short that more of them are needed. */
const maxIntervalMs = 1000;
/** Part of the time for a revocation after which the configuration is read again: several reads may fail before keys are refused. */
const intervalFactor = 0.2;
/** Bounds of the random factor of an interval, so that the reads of entries spread. */
const jitterFactors = {min: 0.8, max: 1.2} as const;
/** Interval after a failed read. */
const retryIntervalMs = 250;

/**
Creates the reader. A plain read is linearizable, so a version that it shows was the newest when the call was sent; a watch without events shows nothing, as it may miss changes for a second.

There is one read at a time, so confirmations arrive in order and a store that does not answer is not called more often.

@internal
*/
export function createConfigurationReader(options: ConfigurationReaderOptions): ConfigurationReader {
	const {
		store, strictRevokeMs, getConfiguration, pushEvent, log,
	} = options;
	let timer: NodeJS.Timeout | undefined;
	let isReading = false;
	let isStopped = false;

	function isNeeded(): boolean {
		return !isStopped && strictRevokeMs !== undefined && getConfiguration()?.accounts !== undefined;
	}

	function schedule(intervalMs: number): void {
		const factor = jitterFactors.min + (Math.random() * (jitterFactors.max - jitterFactors.min));
		timer = isNeeded() ? setTimeout(readAgain, intervalMs * factor) : undefined;
	}

	function readAgain(): void {
		timer = undefined;
		if (!isNeeded()) {
			return;
		}

		isReading = true;
		confirmConfiguration().then(() => {
			isReading = false;
			schedule(Math.min(maxIntervalMs, intervalFactor * (strictRevokeMs ?? maxIntervalMs)));
		}).catch((error: unknown) => {
			isReading = false;
			log('debug', 'reading configuration failed, retrying', {error: String(error)});
			schedule(retryIntervalMs);
		});
	}

	/** @throws If the store does not answer. */
	async function confirmConfiguration(): Promise<void> {
		const requestedAt = options.getClocks();
		const item = await store.readItem(configurationKey);
		const configuration = item === undefined ? undefined : options.decodeItem(item);
		if (configuration === undefined) {
			// A record that cannot be decoded may be newer, so it does not confirm the one in use.
			if (item !== undefined) {
				options.reportIgnoredItem(item);
			}

			return;
		}

		if (configuration.version > (getConfiguration()?.version ?? -1)) {
			pushEvent({kind: 'configuration-changed', configuration});
		}

		pushEvent({kind: 'configuration-confirmed', version: configuration.version, requestedAt});
	}

	return {
		handleConfigurationChanged() {
			if (timer === undefined && !isReading) {
				// The event that changes the configuration may still wait in the pipeline.
				timer = setTimeout(readAgain, 0);
			}
		},
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
