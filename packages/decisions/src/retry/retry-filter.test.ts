import {describe, expect, it} from 'vitest';
import {createOwnerFixture, type OwnerFixture} from '../owned-pool.test-support.js';

type Case = {
	readonly name: string;
	readonly act: (owned: OwnerFixture) => unknown;
	readonly expected: unknown;
};

/** Answers requests until the retry budget is full. */
function earnRetries(owned: OwnerFixture): void {
	for (let count = 0; count < 300; count += 1) {
		owned.submitRequest();
		owned.answer(owned.listAttempts()[0]!);
	}
}

const keyed = {isIdempotent: false, method: 'POST'} as const;

function failFirst(failure: 'not-sent' | 'connection-lost' | 'answer-truncated', request: Parameters<OwnerFixture['submitRequest']>[0], isBudgetFull = true) {
	return (owned: OwnerFixture) => {
		if (isBudgetFull) {
			earnRetries(owned);
		} else {
			owned.state.retry.tokens.set('badge', 0.5);
		}

		const requestId = owned.submitRequest(request);
		owned.fail(owned.listAttempts()[0]!, failure);
		owned.advance(100);
		return {attempts: owned.listAttempts().length, outcome: owned.getResult(requestId)?.outcome};
	};
}

const cases: readonly Case[] = [
	{name: 'an idempotent request is sent again after a lost connection (callers see each fault)', act: failFirst('connection-lost', {}), expected: {attempts: 1, outcome: undefined}},
	{name: 'a non-idempotent request is not sent again after a lost connection (runs twice)', act: failFirst('connection-lost', keyed), expected: {attempts: 0, outcome: 'unknown'}},
	{name: 'a non-idempotent request is not sent again after a short answer (runs twice)', act: failFirst('answer-truncated', keyed), expected: {attempts: 0, outcome: 'unknown'}},
	{name: 'a non-idempotent request that was not sent is sent again (needless refusal)', act: failFirst('not-sent', keyed), expected: {attempts: 1, outcome: undefined}},
	{name: 'without retry budget a request that was not sent ends as not run (retry storm)', act: failFirst('not-sent', {}, false), expected: {attempts: 0, outcome: 'not-run'}},
	{name: 'without retry budget a request that may have run ends as unknown (untrue not-run)', act: failFirst('connection-lost', {}, false), expected: {attempts: 0, outcome: 'unknown'}},
	{
		name: 'a refusal is sent again without the retry budget (work lost after a takeover)',
		act(owned) {
			const requestId = owned.submitRequest({isIdempotent: false, method: 'POST'});
			owned.answer(owned.listAttempts()[0]!, 503);
			owned.advance(200);
			return {attempts: owned.listAttempts().length, result: owned.getResult(requestId)};
		},
		expected: {attempts: 1, result: undefined},
	},
	{
		name: 'a request that may have run is not called not run when later attempts were not sent (untrue not-run)',
		act(owned) {
			earnRetries(owned);
			const requestId = owned.submitRequest();
			for (const failure of ['connection-lost', 'not-sent', 'not-sent'] as const) {
				owned.fail(owned.listAttempts()[0]!, failure);
				owned.advance(3000);
			}

			return owned.getResult(requestId)?.outcome;
		},
		expected: 'unknown',
	},
	{
		name: 'an idempotent request that met a server error is sent again, and the last answer is passed on (broken worker decides)',
		act(owned) {
			earnRetries(owned);
			const requestId = owned.submitRequest();
			owned.answer(owned.listAttempts()[0]!, 500);
			owned.advance(100);
			const early = owned.getResult(requestId);
			owned.answer(owned.listAttempts()[0]!, 200);
			return [early, owned.getResult(requestId)?.status];
		},
		expected: [undefined, 200],
	},
];

describe('retry', () => {
	it.each(cases)('$name', ({act, expected}) => {
		expect(act(createOwnerFixture({instances: 2, budget: 0}))).toEqual(expected);
	});
});
