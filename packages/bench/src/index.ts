/**
Demo, scenario runner, randomised runs and measurements.

@packageDocumentation
*/
export {createLocalCluster, type LocalCluster, type LocalClusterOptions} from './local-cluster.js';
