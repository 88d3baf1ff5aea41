import {
	type Endpoint, type JobEvent,
} from '@pistachiogauge/jobs';
import {
	configurationKey, decodeEndpoint, decodeWave, endpointPrefix, followPrefix, wavePrefix, type StoreClient, type StoreItem,
} from '@pistachiogauge/platform';
import {type Logger} from '@pistachiogauge/telemetry';
import {type ConfigurationDecoder} from './configuration-decoder.js';
import {
	decodeAdmission, decodeClaim, decodeMember, decodeRecord, recordKeys,
} from './job-records.js';
import {type IgnoredItemReporter} from './report-ignored-items.js';

/** @internal */
export type FollowContext = {
	readonly store: StoreClient;
	readonly pushEvent: (event: JobEvent) => void;
	readonly log: Logger;
	readonly reportIgnoredItem: IgnoredItemReporter;
	readonly node: string;
	readonly incarnation: string;
	/** Called when the entry's registration is missing or belongs to another incarnation. */
	readonly handleRegistrationLost: () => void;
};

/** Ends a watch. @internal */
export type StopFollowing = () => void;

/** Batches the changes of endpoints, whose heartbeats alone change the list all the time; short enough that a drain is known within 2 s. */
const endpointPauseMs = 250;

/** For records that change rarely and whose changes must be seen at once. @internal */
export const noPauseMs = 0;

/** Creates the callback that logs why records could not be read; `followPrefix` retries. @internal */
export function createFailureLogger(log: Logger, prefix: string): (error: unknown) => void {
	return error => {
		log('debug', 'listing or watching records failed, retrying', {prefix, error: String(error)});
	};
}

/** Decodes the items whose key starts with `prefix`. @internal */
export type RecordDecoder = {readonly prefix: string; readonly decode: (item: StoreItem) => JobEvent | undefined};

/** Publishes an item as an event; an item that cannot be decoded is reported and left out. @internal */
export function publishItem(decoders: readonly RecordDecoder[], item: StoreItem, context: FollowContext): void {
	const decoder = decoders.find(({prefix}) => item.key.startsWith(prefix));
	const event = decoder?.decode(item);
	if (event !== undefined) {
		context.pushEvent(event);
		return;
	}

	if (decoder !== undefined && item.value !== undefined) {
		context.reportIgnoredItem(item);
	}
}

/** Watches the operator's configuration and maintenance waves. @internal */
export function followConfigurationAndWaves(context: FollowContext, decodeConfiguration: ConfigurationDecoder): StopFollowing {
	const decoders: RecordDecoder[] = [
		{
			prefix: configurationKey,
			decode(item) {
				const configuration = decodeConfiguration(item);
				return configuration === undefined ? undefined : {kind: 'configuration-changed', configuration};
			},
		},
		{
			prefix: wavePrefix,
			decode(item) {
				if (item.value === undefined) {
					return {kind: 'wave-removed', number: Number(item.key.slice(wavePrefix.length))};
				}

				const wave = decodeWave(item.value);
				return wave === undefined ? undefined : {kind: 'wave-changed', wave, seenAt: Date.now()};
			},
		},
	];
	/** Keys of the waves that are known to exist. */
	const waveKeys = new Set<string>();
	const publishChange = (item: StoreItem) => {
		if (item.value === undefined) {
			waveKeys.delete(item.key);
		} else if (item.key.startsWith(wavePrefix)) {
			waveKeys.add(item.key);
		}

		publishItem(decoders, item, context);
	};

	return followPrefix(context.store, {prefix: 'op/', pauseMs: noPauseMs}, {
		handleItems(items) {
			// A wave that was removed during a gap in the watch is noticed only because it is missing from the new list.
			const listed = new Set(items.map(({key}) => key));
			const removed = [...waveKeys].filter(key => !listed.has(key));
			for (const item of [...removed.map(key => ({key, value: undefined, revision: 0})), ...items]) {
				publishChange(item);
			}
		},
		handleChange: publishChange,
		handleError: createFailureLogger(context.log, 'op/'),
	});
}

/** Watches the registrations of entries, the claims and the waits in overloaded pools. @internal */
export function followMembersAndClaims(context: FollowContext): StopFollowing {
	function handleMemberChange(item: StoreItem): JobEvent {
		const node = item.key.slice(recordKeys.entryPrefix.length);
		const member = decodeMember(item);
		if (node === context.node && member?.incarnation !== context.incarnation) {
			context.handleRegistrationLost();
		}

		return {kind: 'member-changed', node, member};
	}

	function decodeAdmissionChange(item: StoreItem): JobEvent {
		const admission = decodeAdmission(item);
		if (item.value !== undefined && admission.record === undefined) {
			context.reportIgnoredItem(item);
		}

		return {kind: 'admission-changed', admission};
	}

	const decoders: RecordDecoder[] = [
		{prefix: recordKeys.lastHolderPrefix, decode: decodeLastHolder},
		{prefix: recordKeys.admissionPrefix, decode: decodeAdmissionChange},
		{prefix: recordKeys.entryPrefix, decode: handleMemberChange},
		{
			prefix: recordKeys.claimPrefix,
			decode: item => ({kind: 'claim-changed', name: item.key.slice(recordKeys.claimPrefix.length), claim: decodeClaim(item)}),
		},
	];
	return followPrefix(context.store, {prefix: recordKeys.sharedPrefix, pauseMs: noPauseMs}, {
		handleItems(items) {
			const members = items.filter(item => item.key.startsWith(recordKeys.entryPrefix)).map(item => decodeMember(item)).filter(member => member !== undefined);
			const claims = items.filter(item => item.key.startsWith(recordKeys.claimPrefix)).map(item => decodeClaim(item)).filter(claim => claim !== undefined);
			if (!members.some(member => member.node === context.node && member.incarnation === context.incarnation)) {
				context.handleRegistrationLost();
			}

			for (const item of items.filter(({key}) => key.startsWith(recordKeys.lastHolderPrefix) || key.startsWith(recordKeys.admissionPrefix))) {
				publishItem(decoders, item, context);
			}

			context.pushEvent({kind: 'members-listed', members});
			context.pushEvent({kind: 'claims-listed', claims});
		},
		handleChange(item) {
			publishItem(decoders, item, context);
		},
		handleError: createFailureLogger(context.log, recordKeys.sharedPrefix),
	});
}

function decodeLastHolder(item: StoreItem): JobEvent | undefined {
	const holder = decodeRecord('holder', item);
	return holder === undefined
		? undefined
		: {
			kind: 'last-holder-changed', name: item.key.slice(recordKeys.lastHolderPrefix.length), node: holder.node, revision: item.revision,
		};
}

/** Watches the list of endpoints. @internal */
export function followEndpoints(context: FollowContext): StopFollowing {
	function decode(item: StoreItem): Endpoint | undefined {
		const endpoint = decodeEndpoint(item.key, item.value);
		if (endpoint === undefined) {
			context.reportIgnoredItem(item);
		}

		return endpoint;
	}

	return followPrefix(context.store, {prefix: endpointPrefix, pauseMs: endpointPauseMs}, {
		handleItems(items) {
			context.pushEvent({kind: 'endpoints-listed', endpoints: items.map(item => decode(item)).filter(endpoint => endpoint !== undefined)});
		},
		handleChange(item) {
			const endpoint = item.value === undefined ? undefined : decode(item);
			context.pushEvent(endpoint === undefined
				? {kind: 'endpoint-removed', endpointId: item.key.slice(endpointPrefix.length)}
				: {kind: 'endpoint-changed', endpoint});
		},
		handleError: createFailureLogger(context.log, endpointPrefix),
	});
}

/** Watches the records that the holder of the fleet claim and the owners of pools exchange. @internal */
export function followFleetRecords(context: FollowContext): StopFollowing {
	const decoders: RecordDecoder[] = [
		{
			prefix: recordKeys.reportPrefix,
			decode(item) {
				const report = decodeRecord('report', item);
				return report === undefined ? undefined : {kind: 'report-changed', report};
			},
		},
		{
			prefix: recordKeys.demandHistoryKey,
			decode(item) {
				const record = decodeRecord('demandHistory', item);
				return record === undefined ? undefined : {kind: 'demand-history-read', ...record};
			},
		},
		{
			prefix: recordKeys.recentOrdersKey,
			decode(item) {
				const record = decodeRecord('recentOrders', item);
				return record === undefined ? undefined : {kind: 'recent-orders-read', ...record};
			},
		},
		{prefix: recordKeys.evacuatedPrefix, decode: decodeEvacuated},
		{prefix: recordKeys.evacuationPrefix, decode: decodeEvacuationRequest},
		{
			prefix: recordKeys.wavePrefix,
			decode(item) {
				const record = decodeRecord('wave', item);
				return record === undefined ? undefined : {kind: 'wave-progress-read', number: Number(item.key.slice(recordKeys.wavePrefix.length)), ...record};
			},
		},
	];
	const publishChange = (item: StoreItem) => {
		publishItem(decoders, item, context);
	};

	return followPrefix(context.store, {prefix: recordKeys.fleetPrefix, pauseMs: noPauseMs}, {
		handleItems(items) {
			for (const item of items) {
				publishChange(item);
			}
		},
		handleChange: publishChange,
		handleError: createFailureLogger(context.log, recordKeys.fleetPrefix),
	});
}

function decodeEvacuated(item: StoreItem): JobEvent | undefined {
	const [pool, endpointId] = item.key.slice(recordKeys.evacuatedPrefix.length).split('/');
	const record = decodeRecord('evacuated', item);
	return record === undefined || pool === undefined || endpointId === undefined ? undefined : {kind: 'endpoint-evacuated', evacuated: {requestId: record.requestId, pool, endpointId}};
}

/** @internal */
export function decodeEvacuationRequest(item: StoreItem): JobEvent | undefined {
	const [pool, endpointId] = item.key.slice(recordKeys.evacuationPrefix.length).split('/');
	const request = decodeRecord('evacuationRequest', item);
	if (pool === undefined || endpointId === undefined) {
		return undefined;
	}

	if (item.value === undefined) {
		return {kind: 'evacuation-withdrawn', pool, endpointId};
	}

	return request === undefined ? undefined : {kind: 'evacuation-requested', request};
}
