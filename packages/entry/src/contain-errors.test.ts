import {EventEmitter} from 'node:events';
import {describe, expect, it} from 'vitest';
import {containErrors} from './contain-errors.js';

// Guards against an unexpected error in one callback that ends the whole process.
const cases = [
	{name: 'an exception in a callback', event: 'uncaughtException', error: new Error('broken callback')},
	{name: 'a rejection that nobody handles', event: 'unhandledRejection', error: new Error('broken promise')},
	{name: 'a rejection with a value that is no error', event: 'unhandledRejection', error: 'text'},
	{name: 'a rejection without a value', event: 'unhandledRejection', error: undefined},
] as const;

describe('containErrors', () => {
	it.each(cases)('logs and counts $name', ({event, error}) => {
		// eslint-disable-next-line unicorn/prefer-event-target -- a process is an emitter.
		const source = new EventEmitter();
		const seen: string[] = [];
		containErrors(source, {
			log(level, message) {
				seen.push(`${level} ${message}`);
			},
			count(metric) {
				seen.push(metric);
			},
		});
		source.emit(event, error);
		expect(seen).toEqual(['unexpected_errors_total', 'error unexpected error contained']);
	});
});
