import {callerFaults} from './caller-faults.js';
import {entryFaults} from './entry-faults.js';
import {type Fault} from './fault.js';
import {fleetFaults} from './fleet-faults.js';
import {networkFaults} from './network-faults.js';
import {operatorFaults} from './operator-faults.js';
import {storeFaults} from './store-faults.js';

export {type Fault} from './fault.js';
export {applyBundle, getHighestBundleVersion} from './operator-faults.js';

/** All faults of the randomised runs. */
export const allFaults: readonly Fault[] = [
	...callerFaults, ...entryFaults, ...networkFaults, ...storeFaults, ...fleetFaults, ...operatorFaults,
];
