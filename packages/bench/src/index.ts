/**
Demo, scenario runner, randomised runs and benchmarks.

@packageDocumentation
*/
export {createLocalCluster, type LocalCluster, type LocalClusterOptions} from './local-cluster.js';
