export {
	configurationFilter, createConfigurationState, type ConfigurationState, type ConfigurationView,
} from './configuration-filter.js';
export {findQueue, listHiddenQueues, type QueueMatch} from './find-queue.js';
