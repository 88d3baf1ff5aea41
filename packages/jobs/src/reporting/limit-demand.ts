import {type Job} from '../ledger/index.js';
import {getAllowance, getFreeCap, type QuotaView} from '../quota/index.js';
import {
	addLoad, noLoad, type JobLoad, type Load,
} from './measure-load.js';

/** Parts of a job's demand that the cap of its account allows: of what waits, and of all of it. @internal */
export type AllowedDemand = {readonly backlogPart: number; readonly neededPart: number};

const wholeDemand: AllowedDemand = {backlogPart: 1, neededPart: 1};

/**
Creates a function that tells how much of a job's demand counts in a report: no machines are requested for tasks that the account's cap keeps from running. What no pool holds of the cap counts as allowed, as a pool takes it once its endpoints have room.

@internal
*/
export function createDemandLimiter(state: QuotaView, pool: string, loads: ReadonlyMap<Job, JobLoad>): (job: Job) => AllowedDemand {
	const totals = new Map<string, {readonly used: Load; readonly backlog: Load}>();
	for (const [{record: {account}}, {used, backlog}] of loads) {
		if (account !== undefined) {
			const total = totals.get(account) ?? {used: noLoad, backlog: noLoad};
			totals.set(account, {used: addLoad(total.used, used), backlog: addLoad(total.backlog, backlog)});
		}
	}

	const allowed = new Map([...totals].map(([account, total]) => [account, computeAllowedDemand(state, pool, account, total)]));
	return ({record: {account}}) => account === undefined ? wholeDemand : allowed.get(account) ?? wholeDemand;
}

function computeAllowedDemand(state: QuotaView, pool: string, account: string, {used, backlog}: {readonly used: Load; readonly backlog: Load}): AllowedDemand {
	const allowance = getAllowance(state, pool, account);
	if (allowance === undefined) {
		return wholeDemand;
	}

	const free = getFreeCap(state, account);
	const getPart = (name: keyof Load, amount: number, held: number) => amount === 0 ? 1 : Math.min(1, Math.max(0, (allowance[name] + free[name] - held) / amount));
	return {
		backlogPart: Math.min(getPart('cpuMillis', backlog.cpuMillis, used.cpuMillis), getPart('memoryMb', backlog.memoryMb, used.memoryMb)),
		neededPart: Math.min(getPart('cpuMillis', used.cpuMillis + backlog.cpuMillis, 0), getPart('memoryMb', used.memoryMb + backlog.memoryMb, 0)),
	};
}
