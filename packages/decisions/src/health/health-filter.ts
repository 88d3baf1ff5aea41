import {type AttemptEnding} from '@pistachiogauge/model';
import {type Filter} from '../chain.js';

const failuresBeforeAvoiding = 5;
const avoidMs = 5000;
const serverErrorStatus = 500;

/**
Judges instances by the answers of their endpoints.

@public
*/
export const healthFilter: Filter = {
	name: 'health',
	handlers: {
		'attempt-ended'(state, event, context) {
			const {instances} = state.health;
			const health = instances.get(event.instanceId) ?? {failuresInRow: 0, avoidUntil: 0};
			instances.set(event.instanceId, health);
			if (!isFailure(event.ending)) {
				health.failuresInRow = 0;
				return [];
			}

			health.failuresInRow += 1;
			if (health.failuresInRow >= failuresBeforeAvoiding) {
				health.avoidUntil = context.now + avoidMs;
			}

			return [];
		},
	},
};

function isFailure(ending: AttemptEnding): boolean {
	return ending.kind === 'failed' || ending.status >= serverErrorStatus;
}
