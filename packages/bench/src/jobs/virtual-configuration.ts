import {type Configuration} from '@pistachiogauge/jobs';
import {createClientAccount, type AccountPlan} from '../accounts/index.js';
import {type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {type StoreCaller} from './call-store.js';
import {createConfiguration} from './create-configuration.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type VirtualWatches} from './virtual-watches.js';

/** The operator's configuration in the store. */
export type VirtualConfiguration = {
	readonly current: Configuration;
	/** Whether the deployment has client accounts. */
	readonly hasAccounts: boolean;
	/** Writes a version with other accounts, or without any. */
	writeAccounts(accounts: readonly AccountPlan[] | undefined): void;
	/** Writes a version in which a queue belongs to another pool, or is removed. */
	writeQueue(name: string, pool: string | undefined): void;
	/** Delivers the configuration to an entry that has just started. With accounts, the entry reads it from the store, and again every second to confirm it. */
	start(entry: VirtualJobsEntry): void;
};

export type VirtualConfigurationOptions = {
	readonly queue: EventQueue;
	readonly pools: readonly string[];
	readonly hasSparePool: boolean;
	/** Accounts of the first version; undefined for a deployment without. */
	readonly accounts: readonly AccountPlan[] | undefined;
	readonly delivery: EventDelivery;
	readonly callStore: StoreCaller;
	readonly publish: VirtualWatches['publish'];
};

const confirmIntervalMs = 1000;

export function createVirtualConfiguration({
	queue, pools, hasSparePool, accounts: firstAccounts, delivery, callStore, publish,
}: VirtualConfigurationOptions): VirtualConfiguration {
	const hasAccounts = firstAccounts !== undefined;
	const changedPools = new Map<string, string | undefined>();
	let accountPlans = firstAccounts;
	const createVersion = (version: number) => createConfiguration(pools, {
		hasSparePool, accounts: accountPlans?.map(account => createClientAccount(account)), version, changedPools,
	});
	let current = createVersion(1);

	function writeVersion(): void {
		current = createVersion(current.version + 1);
		publish([{kind: 'configuration-changed', configuration: current}]);
	}

	function confirmConfiguration(entry: VirtualJobsEntry, incarnation: string): void {
		const requestedAt = {now: queue.now, wallTime: startWallTime + queue.now};
		callStore(entry, {
			isWrite: false,
			run: () => current,
			onAnswer(configuration) {
				delivery.deliver(entry, {kind: 'configuration-changed', configuration}, incarnation);
				delivery.deliver(entry, {kind: 'configuration-confirmed', version: configuration.version, requestedAt}, incarnation);
			},
			onFailure: () => undefined,
		});
		queue.add(confirmIntervalMs, () => {
			delivery.runInProcess(entry, () => {
				confirmConfiguration(entry, incarnation);
			}, incarnation);
		});
	}

	return {
		get current() {
			return current;
		},
		hasAccounts,
		writeAccounts(accounts) {
			accountPlans = accounts;
			writeVersion();
		},
		writeQueue(name, pool) {
			changedPools.set(name, pool);
			writeVersion();
		},
		start(entry) {
			if (hasAccounts) {
				confirmConfiguration(entry, entry.incarnation);
			} else {
				delivery.deliver(entry, {kind: 'configuration-changed', configuration: current});
			}
		},
	};
}
