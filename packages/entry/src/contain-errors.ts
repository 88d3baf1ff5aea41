import {type EventEmitter} from 'node:events';
import {type Logger} from '@pistachiogauge/telemetry';

const errorEvents = ['uncaughtException', 'unhandledRejection'] as const;

/**
Keeps a running process alive after an error that no part of it has caught.

Only the event, request or call in which the error arose is lost. That is safe, as no state is kept outside the chain of filters, which contains errors by itself; whoever waits for an answer runs into its time-out, and an outcome that was not recorded is unknown, never a refusal.

@internal
*/
export function containErrors(source: Pick<EventEmitter, 'on'>, {log, count}: {readonly log: Logger; readonly count: (metric: string) => void}): void {
	for (const name of errorEvents) {
		source.on(name, (error: unknown) => {
			count('unexpected_errors_total');
			log('error', 'unexpected error contained', {source: name, error: error instanceof Error ? error.stack : String(error)});
		});
	}
}
