import {
	poolClaimPrefix, type JobEffect, type JobEffectOf, type JobEvent, type OwnedPool,
} from '@pistachiogauge/jobs';
import {followPrefix, type StoreItem} from '@pistachiogauge/platform';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {type CallRunner} from './create-order-sinks.js';
import {
	createFailureLogger, noPauseMs, type FollowContext, type StopFollowing,
} from './follow-records.js';
import {decodeShares, encodeRecord, recordKeys} from './job-records.js';
import {type JobSinkDependencies} from './job-sink-dependencies.js';
import {readClocks} from './read-clocks.js';
import {writeResults} from './write-results.js';

type ShareSinkDependencies = Pick<JobSinkDependencies, 'store' | 'pushEvent' | 'followContext'>;

/** Creates the sinks that watch, read and write the shares of the accounts' caps. @internal */
export function createShareSinks({store, pushEvent, followContext}: ShareSinkDependencies, runCall: CallRunner): Pick<SinkTable<JobEffect>, 'follow-shares' | 'read-shares' | 'write-shares'> {
	let stopFollowing: StopFollowing | undefined;

	async function readShares(account: string): Promise<void> {
		const key = recordKeys.getSharesKey(account);
		const item = await store.readItem(key);
		const shares = decodeShares(item ?? {key, value: undefined, revision: 0});
		if (shares !== undefined) {
			pushEvent({kind: 'shares-read', shares});
		}
	}

	async function writeShares({
		pool, token, writeId, records,
	}: JobEffectOf<'write-shares'>): Promise<void> {
		const name = `${poolClaimPrefix}${pool}`;
		const claimKey = `${recordKeys.claimPrefix}${name}`;
		const requestedAt = readClocks();
		const result = await store.applyTransaction({
			conditions: [{key: claimKey, revision: token}, ...records.map(({account, revision}) => ({key: recordKeys.getSharesKey(account), revision}))],
			puts: records.map(({account, record}) => ({key: recordKeys.getSharesKey(account), value: encodeRecord(record)})),
		});
		if (result.kind === 'applied') {
			pushEvent({
				kind: 'claim-confirmed', name, token, requestedAt,
			});
		}

		const revisions = result.kind === 'conflict' ? result.revisions : undefined;
		pushEvent({
			kind: 'shares-written',
			pool,
			token,
			writeId,
			result: writeResults[result.kind],
			revision: result.kind === 'applied' ? result.revision : 0,
			presentRevisions: new Map(records.map(({account}) => [account, revisions?.get(recordKeys.getSharesKey(account)) ?? 0])),
			isClaimLost: revisions !== undefined && revisions.get(claimKey) !== token,
		});
	}

	return {
		'follow-shares'({owned}) {
			stopFollowing?.();
			stopFollowing = owned.length === 0 ? undefined : followShares(followContext, owned);
		},
		'read-shares'({accounts}) {
			for (const account of accounts) {
				// The decisions ask again if there is no answer.
				runCall('read-shares', async () => readShares(account));
			}
		},
		'write-shares'(effect) {
			const {pool, token, writeId} = effect;
			runCall('write-shares', async () => writeShares(effect), {
				kind: 'shares-written', pool, token, writeId, result: 'unknown', revision: 0, presentRevisions: new Map(), isClaimLost: false,
			});
		},
	};
}

/** Lists the shares of all accounts, then watches them. */
function followShares(context: FollowContext, owned: readonly OwnedPool[]): StopFollowing {
	function decode(item: StoreItem): Extract<JobEvent, {kind: 'shares-changed'}> | undefined {
		const shares = decodeShares(item);
		if (item.value !== undefined && shares?.record === undefined) {
			context.reportIgnoredItem(item);
		}

		return shares === undefined ? undefined : {kind: 'shares-changed', shares};
	}

	return followPrefix(context.store, {prefix: recordKeys.sharesPrefix, pauseMs: noPauseMs}, {
		handleItems(items) {
			context.pushEvent({kind: 'shares-listed', owned, shares: items.map(item => decode(item)?.shares).filter(shares => shares !== undefined)});
		},
		handleChange(item) {
			const event = decode(item);
			if (event !== undefined) {
				context.pushEvent(event);
			}
		},
		handleError: createFailureLogger(context.log, recordKeys.sharesPrefix),
	});
}
