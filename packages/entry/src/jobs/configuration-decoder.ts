import {type Configuration} from '@pistachiogauge/jobs';
import {decodeConfiguration, type StoreItem} from '@pistachiogauge/platform';
import {type Logger} from '@pistachiogauge/telemetry';

/** Decodes the record of the operator's configuration. @returns Undefined if it cannot be decoded. @internal */
export type ConfigurationDecoder = (item: StoreItem) => Configuration | undefined;

/** Creates a decoder that logs once for each version which client accounts are left out. @internal */
export function createConfigurationDecoder(log: Logger): ConfigurationDecoder {
	let reportedVersion = -1;
	return ({value}) => decodeConfiguration(value, ({version, count, first}) => {
		if (version > reportedVersion) {
			reportedVersion = version;
			log('warn', 'client accounts of configuration left out', {version, count, first});
		}
	});
}
