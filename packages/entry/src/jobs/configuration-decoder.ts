import {listHiddenQueues, type Configuration} from '@pistachiogauge/jobs';
import {decodeConfiguration, type StoreItem} from '@pistachiogauge/platform';
import {type Logger} from '@pistachiogauge/telemetry';

/** Maximum number of queues that a log line names. */
const maxLoggedQueues = 10;

/** Decodes the record of the operator's configuration. @returns Undefined if it cannot be decoded. @internal */
export type ConfigurationDecoder = (item: StoreItem) => Configuration | undefined;

/** Creates a decoder that logs once for each version which client accounts are left out, and which queues no request can select. @internal */
export function createConfigurationDecoder(log: Logger): ConfigurationDecoder {
	let faultyVersion = -1;
	let ambiguousVersion = -1;
	return ({value}) => {
		const configuration = decodeConfiguration(value, ({version, count, first}) => {
			if (version > faultyVersion) {
				faultyVersion = version;
				log('warn', 'client accounts of configuration left out', {version, count, first});
			}
		});
		const hidden = configuration === undefined ? [] : listHiddenQueues(configuration);
		if (configuration !== undefined && hidden.length > 0 && configuration.version > ambiguousVersion) {
			ambiguousVersion = configuration.version;
			log('warn', 'queues have the host and prefix of another one', {version: configuration.version, count: hidden.length, first: hidden.slice(0, maxLoggedQueues)});
		}

		return configuration;
	};
}
