import {type JobEvent, type JobsState} from '@pistachiogauge/jobs';
import {
	type EndpointOrders, type HttpCaller, type Ingress, type MachineService, type StoreClient,
} from '@pistachiogauge/platform';
import {type Logger, type Metrics} from '@pistachiogauge/telemetry';
import {type FollowContext} from './follow-records.js';
import {type Session} from './session.js';

/** Parts of the process that carry out effects. @internal */
export type JobParts = {
	readonly state: JobsState;
	readonly store: StoreClient;
	readonly session: Session;
	readonly http: HttpCaller;
	readonly ingress: Ingress;
	readonly orders: EndpointOrders;
	readonly machines: MachineService | undefined;
	readonly adviceAddress: string | undefined;
	readonly follow: FollowContext;
	readonly metrics: Metrics;
	readonly log: Logger;
	readonly pushEvent: (event: JobEvent) => void;
	readonly node: string;
	readonly incarnation: string;
};
