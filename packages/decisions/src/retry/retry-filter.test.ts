import {describe, expect, it} from 'vitest';
import {createOwnerFixture, type OwnerFixture} from '../owner-fixture.test-support.js';

type Case = {
	readonly name: string;
	readonly act: (fixture: OwnerFixture) => unknown;
	readonly expected: unknown;
};

/** Sends and answers enough requests to fill the retry budget. */
function fillRetryBudget(fixture: OwnerFixture): void {
	for (let count = 0; count < 300; count += 1) {
		fixture.submitRequest();
		fixture.answer(fixture.listAttempts()[0]!);
	}
}

const nonIdempotentRequest = {isIdempotent: false, method: 'POST'} as const;

function failFirstAttempt(failure: 'not-sent' | 'connection-lost' | 'answer-truncated', request: Parameters<OwnerFixture['submitRequest']>[0], isBudgetFull = true) {
	return (fixture: OwnerFixture) => {
		if (isBudgetFull) {
			fillRetryBudget(fixture);
		} else {
			fixture.state.retry.tokens.set('badge', 0.5);
		}

		const requestId = fixture.submitRequest(request);
		fixture.fail(fixture.listAttempts()[0]!, failure);
		fixture.advance(100);
		return {attempts: fixture.listAttempts().length, outcome: fixture.getResult(requestId)?.outcome};
	};
}

const cases: readonly Case[] = [
	{
		name: 'an idempotent request is sent again after a lost connection (otherwise callers see each failure)',
		act: failFirstAttempt('connection-lost', {}),
		expected: {attempts: 1, outcome: undefined},
	},
	{
		name: 'a non-idempotent request is not sent again after a lost connection (otherwise it may run twice)',
		act: failFirstAttempt('connection-lost', nonIdempotentRequest),
		expected: {attempts: 0, outcome: 'unknown'},
	},
	{
		name: 'a non-idempotent request is not sent again after a truncated answer (otherwise it may run twice)',
		act: failFirstAttempt('answer-truncated', nonIdempotentRequest),
		expected: {attempts: 0, outcome: 'unknown'},
	},
	{
		name: 'a non-idempotent request that was not sent is sent again (otherwise it is refused needlessly)',
		act: failFirstAttempt('not-sent', nonIdempotentRequest),
		expected: {attempts: 1, outcome: undefined},
	},
	{
		name: 'without retry budget a request that was not sent ends as not run (otherwise a retry storm)',
		act: failFirstAttempt('not-sent', {}, false),
		expected: {attempts: 0, outcome: 'not-run'},
	},
	{
		name: 'without retry budget a request that may have run ends as unknown (otherwise a false "not run")',
		act: failFirstAttempt('connection-lost', {}, false),
		expected: {attempts: 0, outcome: 'unknown'},
	},
	{
		name: 'a refused request is sent again without using the retry budget (otherwise requests are lost after a takeover)',
		act(fixture) {
			const requestId = fixture.submitRequest({isIdempotent: false, method: 'POST'});
			fixture.answer(fixture.listAttempts()[0]!, 503);
			fixture.advance(200);
			return {attempts: fixture.listAttempts().length, result: fixture.getResult(requestId)};
		},
		expected: {attempts: 1, result: undefined},
	},
	{
		name: 'a request that may have run ends as unknown when later attempts were not sent (otherwise a false "not run")',
		act(fixture) {
			fillRetryBudget(fixture);
			const requestId = fixture.submitRequest();
			for (const failure of ['connection-lost', 'not-sent', 'not-sent'] as const) {
				fixture.fail(fixture.listAttempts()[0]!, failure);
				fixture.advance(3000);
			}

			return fixture.getResult(requestId)?.outcome;
		},
		expected: 'unknown',
	},
	{
		name: 'an idempotent request is sent again after a server error, and the last answer is passed on (otherwise one broken instance fails it)',
		act(fixture) {
			fillRetryBudget(fixture);
			const requestId = fixture.submitRequest();
			fixture.answer(fixture.listAttempts()[0]!, 500);
			fixture.advance(100);
			const early = fixture.getResult(requestId);
			fixture.answer(fixture.listAttempts()[0]!, 200);
			return [early, fixture.getResult(requestId)?.status];
		},
		expected: [undefined, 200],
	},
];

describe('retry', () => {
	it.each(cases)('$name', ({act, expected}) => {
		expect(act(createOwnerFixture({instances: 2, budget: 0}))).toEqual(expected);
	});
});
