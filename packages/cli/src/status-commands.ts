import {callEntry} from './call-entry.js';
import {getCallOptions, parseCount} from './command-input.js';
import {type Command} from './command.js';
import {formatFields, formatTable} from './format-table.js';

type StatusAnswer = {
	readonly members?: ReadonlyArray<{readonly id: string; readonly address: string; readonly zone: string}>;
	readonly pools?: Readonly<Record<string, {readonly owner: string; readonly standby?: string}>>;
} & Readonly<Record<string, unknown>>;

/** @internal */
export const statusCommands: readonly Command[] = [
	{
		name: 'status',
		usage: 'status',
		description: 'Show what an entry knows: epoch, members, owners of pools, bundle',
		example: 'status --entry 10.0.0.1:8080 --operator ana --key ana.pem',
		run: async (_values, options) => callEntry(getCallOptions(options), {command: 'status'}),
		format(result) {
			const {members = [], pools = {}, ...fields} = result as StatusAnswer;
			return [
				formatFields(fields),
				formatTable(['member', 'address', 'zone'], members.map(member => [member.id, member.address, member.zone])),
				formatTable(['pool', 'owner', 'standby'], Object.entries(pools).map(([pool, {owner, standby}]) => [pool, owner, standby])),
			].join('\n\n');
		},
	},
	{
		name: 'membership force',
		usage: 'membership force <epoch>',
		description: 'Write the next epoch without a majority, when most entries are lost for good',
		example: 'membership force 42 --entry 10.0.0.1:8080 --operator ana --key ana.pem',
		run: async ([epoch = ''], options) => callEntry(getCallOptions(options), {command: 'membership-force', epoch: parseCount(epoch, 'epoch')}),
	},
];
