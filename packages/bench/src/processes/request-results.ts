import {request} from 'undici';
import {type LocalProcess} from '../local-cluster.js';

/** A request and its result as observed by the caller. `no-answer` means that the connection failed. */
export type ObservedRequest = {
	/** Body of the request. It is unique, so that it identifies the request in the endpoints' records. */
	readonly body: string;
	readonly entry: string;
	readonly isIdempotent: boolean;
	readonly outcome: 'completed' | 'not-run' | 'unknown' | 'no-answer';
	readonly status: number;
	readonly reason: string;
	readonly echo: string;
};

/** Counts the runs of each request body over the given endpoints. */
export async function countRuns(endpoints: readonly LocalProcess[]): Promise<Map<string, number>> {
	const runs = new Map<string, number>();
	const records = await Promise.all(endpoints.map(async endpoint => {
		const answer = await request(`http://${endpoint.address}/standin/record`);
		return answer.body.json() as Promise<{runs: Record<string, number>}>;
	}));
	for (const record of records) {
		for (const [body, count] of Object.entries(record.runs)) {
			runs.set(body, (runs.get(body) ?? 0) + count);
		}
	}

	return runs;
}

type Rule = {
	readonly name: string;
	readonly isViolated: (result: ObservedRequest, runs: number) => boolean;
};

/** Rules that hold for every request under all faults. */
const rules: readonly Rule[] = [
	{name: 'non-idempotent request run twice', isViolated: (result, runs) => !result.isIdempotent && runs > 1},
	{name: 'not-run answered for a request that ran', isViolated: (result, runs) => result.outcome === 'not-run' && runs > 0},
	{name: 'completed answered for a request that did not run', isViolated: (result, runs) => result.outcome === 'completed' && runs === 0},
	{name: 'answer of another request', isViolated: result => result.outcome === 'completed' && result.status === 200 && result.echo !== result.body},
];

/** Finds the requests whose answers contradict the endpoints' records. */
export function findRuleViolations(results: readonly ObservedRequest[], runs: ReadonlyMap<string, number>): string[] {
	return rules.flatMap(rule => results
		.filter(result => rule.isViolated(result, runs.get(result.body) ?? 0))
		.map(result => `${rule.name}: ${result.body} at ${result.entry}, ${result.outcome} ${result.status} ${result.reason}, ${runs.get(result.body) ?? 0} runs`));
}
