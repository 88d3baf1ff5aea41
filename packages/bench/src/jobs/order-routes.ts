import {type RandomSource} from '@pistachiogauge/chain';
import {type JobEffectOf} from '@pistachiogauge/jobs';

/** An order to an endpoint, as its owner emits it. */
export type EndpointOrder = JobEffectOf<'poll-endpoint' | 'start-task' | 'stop-task'>;

/** What becomes of an order that reaches the machine of its endpoint. */
export type OrderRoute =
	| {readonly kind: 'usual'}
	/** It gets no answer, and is carried out after a delay by the process that runs under the endpoint's id then. */
	| {readonly kind: 'late'; readonly delayMs: number}
	/** It is carried out in the same way and answered; its answer takes longer than usual. */
	| {readonly kind: 'slow'; readonly delayMs: number; readonly answerDelayMs: number};

/** Names what happens to orders to an endpoint, and their answers, for some time. */
export type OrderDisturbance =
	/** Orders get no answer and are carried out late. */
	| 'late'
	/** About half of the orders get no answer; most of these are carried out late. */
	| 'answers-lost'
	/** Some answers are overtaken by those of later orders. */
	| 'answers-slow';

/** Chooses the route of a single order; undefined for one that is drawn. */
export type OrderRouter = (order: EndpointOrder) => OrderRoute | undefined;

type DelayBounds = {readonly min: number; readonly max: number};

const lateOrderMs: DelayBounds = {min: 2000, max: 12_000};
/** Bounds of the delay of a late order while the answers of its endpoint are lost. */
const unansweredOrderMs: DelayBounds = {min: 600, max: 12_000};
/** Bounds of the additional delay of a slow answer. */
const slowAnswerMs: DelayBounds = {min: 10, max: 400};
/** Share of orders without an answer while answers are lost, and the part of them that is carried out at once. */
const unansweredShare = 0.5;
const carriedOutShare = 0.3;
const slowShare = 0.3;

/** Draws a number between two bounds. */
export function chooseBetween(random: RandomSource, {min, max}: DelayBounds): number {
	return min + (random.getFraction() * (max - min));
}

const usualRoute: OrderRoute = {kind: 'usual'};

const routeDrawers: Readonly<Record<OrderDisturbance, (random: RandomSource) => OrderRoute>> = {
	late: random => ({kind: 'late', delayMs: chooseBetween(random, lateOrderMs)}),
	'answers-lost'(random) {
		if (random.getFraction() >= unansweredShare) {
			return usualRoute;
		}

		return random.getFraction() < carriedOutShare ? {kind: 'late', delayMs: 0} : {kind: 'late', delayMs: chooseBetween(random, unansweredOrderMs)};
	},
	'answers-slow': random => random.getFraction() < slowShare ? {kind: 'slow', delayMs: 0, answerDelayMs: chooseBetween(random, slowAnswerMs)} : usualRoute,
};

/** Draws the route of an order. */
export function drawRoute(random: RandomSource, disturbance: OrderDisturbance | undefined): OrderRoute {
	return disturbance === undefined ? usualRoute : routeDrawers[disturbance](random);
}
