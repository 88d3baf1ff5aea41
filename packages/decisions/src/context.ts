export {createRandomSource, type DecisionContext, type RandomSource} from '@pistachiogauge/chain';
