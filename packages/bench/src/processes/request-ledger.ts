import {request} from 'undici';
import {type LocalProcess} from '../local-cluster.js';

/** What a caller saw of one request. `no-answer` means that its connection broke. */
export type SentRequest = {
	/** Body; each request has its own, so the endpoints' records name it. */
	readonly text: string;
	readonly entry: string;
	readonly isIdempotent: boolean;
	readonly outcome: 'completed' | 'not-run' | 'unknown' | 'no-answer';
	readonly status: number;
	readonly reason: string;
	readonly echo: string;
};

/** Runs of each body over some endpoints. */
export async function countRuns(endpoints: readonly LocalProcess[]): Promise<Map<string, number>> {
	const runs = new Map<string, number>();
	const records = await Promise.all(endpoints.map(async endpoint => {
		const answer = await request(`http://${endpoint.address}/standin/record`);
		return answer.body.json() as Promise<{runs: Record<string, number>}>;
	}));
	for (const record of records) {
		for (const [text, count] of Object.entries(record.runs)) {
			runs.set(text, (runs.get(text) ?? 0) + count);
		}
	}

	return runs;
}

type Rule = {
	readonly name: string;
	readonly isBroken: (sent: SentRequest, runs: number) => boolean;
};

/** What must hold for every request, whatever has failed. */
const rules: readonly Rule[] = [
	{name: 'non-idempotent request run twice', isBroken: (sent, runs) => !sent.isIdempotent && runs > 1},
	{name: 'not-run answered for a request that ran', isBroken: (sent, runs) => sent.outcome === 'not-run' && runs > 0},
	{name: 'completed answered for a request that did not run', isBroken: (sent, runs) => sent.outcome === 'completed' && runs === 0},
	{name: 'answer of another request', isBroken: sent => sent.outcome === 'completed' && sent.status === 200 && sent.echo !== sent.text},
];

/** Lists the requests whose answers contradict the endpoints' records. */
export function checkLedger(ledger: readonly SentRequest[], runs: ReadonlyMap<string, number>): string[] {
	return rules.flatMap(rule => ledger
		.filter(sent => rule.isBroken(sent, runs.get(sent.text) ?? 0))
		.map(sent => `${rule.name}: ${sent.text} at ${sent.entry}, ${sent.outcome} ${sent.status} ${sent.reason}, ${runs.get(sent.text) ?? 0} runs`));
}
