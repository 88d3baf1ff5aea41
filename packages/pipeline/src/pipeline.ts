import {type Kinded, type OfKind} from '@pistachiogauge/chain';
import {Stream, type Scheduler, type Sink} from 'most';

/** Lookup table from effect kind to the function that carries it out. @public */
export type SinkTable<Effect extends Kinded> = {
	readonly [Kind in Effect['kind']]: (effect: OfKind<Effect, Kind>) => void;
};

/** @public */
export type PipelineOptions<Event, Effect extends Kinded> = {
	/** Decides on one event. */
	readonly applyEvent: (event: Event) => readonly Effect[];
	readonly sinks: SinkTable<Effect>;
	/** Told when a sink or the decisions throw; the stream goes on. */
	readonly reportFailure: (stage: string, error: unknown) => void;
};

/** @public */
export type Pipeline<Event> = {
	/** Puts an event on the stream. Events pushed from within a sink follow after the present one. */
	pushEvent(event: Event): void;
};

/**
Wires the stream of a process: pushed events → decisions → sinks.

An exception in a stage would end a `most` stream, so each stage is guarded and reports its failure.

@public
*/
export function createPipeline<Event, Effect extends Kinded>(options: PipelineOptions<Event, Effect>): Pipeline<Event> {
	const {stream, pushEvent} = createEventStream<Event>();
	void stream
		.map(event => decide(options, event))
		.filter(effects => effects.length > 0)
		.observe(effects => {
			for (const effect of effects) {
				runSink(options, effect);
			}
		});
	return {pushEvent};
}

function decide<Event, Effect extends Kinded>(options: PipelineOptions<Event, Effect>, event: Event): readonly Effect[] {
	try {
		return options.applyEvent(event);
	} catch (error) {
		options.reportFailure('decisions', error);
		return [];
	}
}

function runSink<Event, Effect extends Kinded>(options: PipelineOptions<Event, Effect>, effect: Effect): void {
	try {
		(options.sinks[effect.kind as Effect['kind']] as (value: Effect) => void)(effect);
	} catch (error) {
		options.reportFailure(effect.kind, error);
	}
}

/** Creates a stream that carries pushed events one after the other, also when a push happens during another. */
function createEventStream<Event>(): {stream: Stream<Event>; pushEvent: (event: Event) => void} {
	const waiting: Event[] = [];
	let target: {readonly sink: Sink<Event>; readonly scheduler: Scheduler} | undefined;
	let isRunning = false;
	const stream = new Stream<Event>({
		run(sink, scheduler) {
			target = {sink, scheduler};
			return {
				dispose() {
					target = undefined;
				},
			};
		},
	});
	return {
		stream,
		pushEvent(event) {
			waiting.push(event);
			if (isRunning || target === undefined) {
				return;
			}

			isRunning = true;
			for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
				target.sink.event(target.scheduler.now(), next);
			}

			isRunning = false;
		},
	};
}
