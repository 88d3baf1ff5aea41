import {
	type Endpoint, type JobEvent, type PoolReport, type EvacuationRequest,
} from '@pistachiogauge/jobs';
import {
	configurationKey, decodeConfiguration, decodeEndpoint, decodeWave, endpointPrefix, followPrefix, wavePrefix, type StoreClient, type StoreItem,
} from '@pistachiogauge/platform';
import {type Logger} from '@pistachiogauge/telemetry';
import {
	decodeClaim, decodeMember, decodeRecord, recordKeys, type WaveRecord,
} from './job-records.js';

/** @internal */
export type FollowContext = {
	readonly store: StoreClient;
	readonly pushEvent: (event: JobEvent) => void;
	readonly log: Logger;
	readonly node: string;
	readonly incarnation: string;
	/** The entry's own registration has vanished. */
	readonly loseRegistration: () => void;
};

/** Stops following. @internal */
export type StopFollowing = () => void;

/** Pause in ms after an answer about endpoints: their heartbeats alone change the list all the time, and a drain has to be known within 2 s. */
const endpointPauseMs = 250;

/** Pause in ms where each change counts and there are few. @internal */
export const noPauseMs = 0;

/** Logs what kept records from being read; the follower tries again. @internal */
export function createFailureLog(log: Logger, prefix: string): (error: unknown) => void {
	return error => {
		log('debug', 'records not read', {prefix, error: String(error)});
	};
}

/** Decodes items whose key has a prefix. @internal */
export type Decoder = {readonly prefix: string; readonly decode: (item: StoreItem) => JobEvent | undefined};

/** Tells an item as an event; what cannot be read is left out with a line in the log. @internal */
export function decodeItem(decoders: readonly Decoder[], item: StoreItem, context: FollowContext): void {
	const decoder = decoders.find(({prefix}) => item.key.startsWith(prefix));
	const event = decoder?.decode(item);
	if (event !== undefined) {
		context.pushEvent(event);
		return;
	}

	if (decoder !== undefined && item.value !== undefined) {
		context.log('warn', 'record left out, as it cannot be read', {key: item.key, revision: item.revision});
	}
}

/** Follows the operator's configuration and waves. @internal */
export function followOperator(context: FollowContext): StopFollowing {
	const decoders: Decoder[] = [
		{
			prefix: configurationKey,
			decode(item) {
				const configuration = decodeConfiguration(item.value);
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
	const changed = (item: StoreItem) => {
		decodeItem(decoders, item, context);
	};

	return followPrefix(context.store, {prefix: 'op/', pauseMs: noPauseMs}, {
		listed(items) {
			for (const item of items) {
				changed(item);
			}
		},
		changed,
		failed: createFailureLog(context.log, 'op/'),
	});
}

/** Follows entries and claims. @internal */
export function followShared(context: FollowContext): StopFollowing {
	function changeMember(item: StoreItem): JobEvent {
		const node = item.key.slice(recordKeys.entryPrefix.length);
		const member = decodeMember(item);
		if (node === context.node && member?.incarnation !== context.incarnation) {
			context.loseRegistration();
		}

		return {kind: 'member-changed', node, member};
	}

	const decoders: Decoder[] = [
		{prefix: recordKeys.lastHolderPrefix, decode: decodeLastHolder},
		{prefix: recordKeys.entryPrefix, decode: changeMember},
		{
			prefix: recordKeys.claimPrefix,
			decode: item => ({kind: 'claim-changed', name: item.key.slice(recordKeys.claimPrefix.length), claim: decodeClaim(item)}),
		},
	];
	return followPrefix(context.store, {prefix: recordKeys.sharedPrefix, pauseMs: noPauseMs}, {
		listed(items) {
			const members = items.filter(item => item.key.startsWith(recordKeys.entryPrefix)).map(item => decodeMember(item)).filter(member => member !== undefined);
			const claims = items.filter(item => item.key.startsWith(recordKeys.claimPrefix)).map(item => decodeClaim(item)).filter(claim => claim !== undefined);
			if (!members.some(member => member.node === context.node && member.incarnation === context.incarnation)) {
				context.loseRegistration();
			}

			for (const item of items.filter(each => each.key.startsWith(recordKeys.lastHolderPrefix))) {
				decodeItem(decoders, item, context);
			}

			context.pushEvent({kind: 'members-listed', members});
			context.pushEvent({kind: 'claims-listed', claims});
		},
		changed(item) {
			decodeItem(decoders, item, context);
		},
		failed: createFailureLog(context.log, recordKeys.sharedPrefix),
	});
}

function decodeLastHolder(item: StoreItem): JobEvent | undefined {
	const holder = decodeRecord<{readonly node: string}>(item);
	return holder === undefined
		? undefined
		: {
			kind: 'last-holder-changed', name: item.key.slice(recordKeys.lastHolderPrefix.length), node: holder.node, revision: item.revision,
		};
}

/** Follows the list of endpoints. @internal */
export function followEndpoints(context: FollowContext): StopFollowing {
	function decode(item: StoreItem): Endpoint | undefined {
		const endpoint = decodeEndpoint(item.key, item.value);
		if (endpoint === undefined) {
			context.log('debug', 'entry names no endpoint to use', {key: item.key, revision: item.revision});
		}

		return endpoint;
	}

	return followPrefix(context.store, {prefix: endpointPrefix, pauseMs: endpointPauseMs}, {
		listed(items) {
			context.pushEvent({kind: 'endpoints-listed', endpoints: items.map(item => decode(item)).filter(endpoint => endpoint !== undefined)});
		},
		changed(item) {
			const endpoint = item.value === undefined ? undefined : decode(item);
			context.pushEvent(endpoint === undefined
				? {kind: 'endpoint-removed', endpointId: item.key.slice(endpointPrefix.length)}
				: {kind: 'endpoint-changed', endpoint});
		},
		failed: createFailureLog(context.log, endpointPrefix),
	});
}

/** Follows what the fleet's holder and the owners tell each other. @internal */
export function followFleet(context: FollowContext): StopFollowing {
	const decoders: Decoder[] = [
		{
			prefix: recordKeys.reportPrefix,
			decode(item) {
				const report = decodeRecord<PoolReport>(item);
				return report === undefined ? undefined : {kind: 'report-changed', report};
			},
		},
		{prefix: recordKeys.evacuatedPrefix, decode: decodeEvacuated},
		{prefix: recordKeys.evacuationPrefix, decode: decodeEvacuationRequest},
		{
			prefix: recordKeys.wavePrefix,
			decode(item) {
				const record = decodeRecord<WaveRecord>(item);
				return record === undefined ? undefined : {kind: 'wave-progress-read', number: Number(item.key.slice(recordKeys.wavePrefix.length)), ...record};
			},
		},
	];
	const changed = (item: StoreItem) => {
		decodeItem(decoders, item, context);
	};

	return followPrefix(context.store, {prefix: recordKeys.fleetPrefix, pauseMs: noPauseMs}, {
		listed(items) {
			for (const item of items) {
				changed(item);
			}
		},
		changed,
		failed: createFailureLog(context.log, recordKeys.fleetPrefix),
	});
}

function decodeEvacuated(item: StoreItem): JobEvent | undefined {
	const [pool, endpointId] = item.key.slice(recordKeys.evacuatedPrefix.length).split('/');
	const record = decodeRecord<{readonly requestId: string}>(item);
	return record === undefined || pool === undefined || endpointId === undefined ? undefined : {kind: 'endpoint-evacuated', evacuated: {requestId: record.requestId, pool, endpointId}};
}

/** @internal */
export function decodeEvacuationRequest(item: StoreItem): JobEvent | undefined {
	const [pool, endpointId] = item.key.slice(recordKeys.evacuationPrefix.length).split('/');
	const request = decodeRecord<EvacuationRequest>(item);
	if (pool === undefined || endpointId === undefined) {
		return undefined;
	}

	return request === undefined ? {kind: 'evacuation-withdrawn', pool, endpointId} : {kind: 'evacuation-requested', request};
}
