import {emitLog, type JobFilter} from '../filter.js';
import {type Configuration} from '../model/index.js';

/** @public */
export type ConfigurationState = {
	/** Undefined until the first configuration has been read. */
	current: Configuration | undefined;
};

/** Read-only view of the configuration for other filters. @public */
export type ConfigurationView = {readonly configuration: {readonly current: Configuration | undefined}};

/** @public */
export function createConfigurationState(): ConfigurationState {
	return {current: undefined};
}

/**
Applies the configuration with the highest version. A lower one is ignored, whatever its source.

@public
*/
export const configurationFilter: JobFilter<{readonly configuration: ConfigurationState}> = {
	name: 'configuration',
	handlers: {
		'configuration-changed'({configuration: state}, {configuration}) {
			const before = state.current?.version;
			if (before !== undefined && before >= configuration.version) {
				return [];
			}

			state.current = configuration;
			return [emitLog('info', 'configuration applied', {
				version: configuration.version, before, queues: configuration.queues.length, pools: configuration.pools.length, accounts: configuration.accounts?.length,
			})];
		},
	},
};
