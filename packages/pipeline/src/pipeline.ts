import {type Discriminated, type OfKind} from '@pistachiogauge/chain';
import {Stream, type Scheduler, type Sink} from 'most';

/** Lookup table from effect kind to the function that carries out the effect. @public */
export type SinkTable<Effect extends Discriminated> = {
	readonly [Kind in Effect['kind']]: (effect: OfKind<Effect, Kind>) => void;
};

/** @public */
export type PipelineOptions<Event, Effect extends Discriminated> = {
	/** Handles one event and returns the effects to carry out. */
	readonly applyEvent: (event: Event) => readonly Effect[];
	readonly sinks: SinkTable<Effect>;
	/** Called when a sink or the decisions throw; the stream continues. */
	readonly reportFailure: (stage: string, error: unknown) => void;
};

/** @public */
export type Pipeline<Event> = {
	/** Adds an event to the stream. Events pushed from within a sink are handled after the current one. */
	pushEvent(event: Event): void;
};

/**
Connects the event stream of a process: pushed events → decisions → sinks.

An exception in a stage would end a `most` stream, so each stage catches its exceptions and reports them.

@public
*/
export function createPipeline<Event, Effect extends Discriminated>(options: PipelineOptions<Event, Effect>): Pipeline<Event> {
	const {stream, pushEvent} = createEventStream<Event>();
	void stream
		.map(event => applyEventSafely(options, event))
		.filter(effects => effects.length > 0)
		.observe(effects => {
			for (const effect of effects) {
				runSinkSafely(options, effect);
			}
		});
	return {pushEvent};
}

function applyEventSafely<Event, Effect extends Discriminated>(options: PipelineOptions<Event, Effect>, event: Event): readonly Effect[] {
	try {
		return options.applyEvent(event);
	} catch (error) {
		options.reportFailure('decisions', error);
		return [];
	}
}

function runSinkSafely<Event, Effect extends Discriminated>(options: PipelineOptions<Event, Effect>, effect: Effect): void {
	try {
		(options.sinks[effect.kind as Effect['kind']] as (value: Effect) => void)(effect);
	} catch (error) {
		options.reportFailure(effect.kind, error);
	}
}

/** Creates a stream that delivers pushed events one at a time, even if an event is pushed while another is being delivered. */
function createEventStream<Event>(): {stream: Stream<Event>; pushEvent: (event: Event) => void} {
	const pendingEvents: Event[] = [];
	let subscriber: {readonly sink: Sink<Event>; readonly scheduler: Scheduler} | undefined;
	let isDelivering = false;
	const stream = new Stream<Event>({
		run(sink, scheduler) {
			subscriber = {sink, scheduler};
			return {
				dispose() {
					subscriber = undefined;
				},
			};
		},
	});
	return {
		stream,
		pushEvent(event) {
			pendingEvents.push(event);
			if (isDelivering || subscriber === undefined) {
				return;
			}

			isDelivering = true;
			for (let next = pendingEvents.shift(); next !== undefined; next = pendingEvents.shift()) {
				subscriber.sink.event(subscriber.scheduler.now(), next);
			}

			isDelivering = false;
		},
	};
}
