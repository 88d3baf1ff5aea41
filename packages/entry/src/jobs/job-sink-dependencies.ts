import {type JobEvent, type JobsState} from '@pistachiogauge/jobs';
import {
	type EndpointOrderClient, type HttpClient, type Ingress, type MachineServiceClient, type StoreClient,
} from '@pistachiogauge/platform';
import {type Logger, type Metrics} from '@pistachiogauge/telemetry';
import {type FollowContext} from './follow-records.js';
import {type PeerServer} from './peer-server.js';
import {type Session} from './session.js';

/** What the sinks need to carry out effects. @internal */
export type JobSinkDependencies = {
	readonly state: JobsState;
	readonly store: StoreClient;
	readonly session: Session;
	readonly http: HttpClient;
	readonly ingress: Pick<Ingress, 'answerCaller'>;
	/** Undefined if this process takes no relayed requests. */
	readonly peerServer: Pick<PeerServer, 'answerRequest'> | undefined;
	readonly endpoints: EndpointOrderClient;
	readonly machineService: MachineServiceClient | undefined;
	readonly adviceAddress: string | undefined;
	readonly followContext: FollowContext;
	readonly metrics: Metrics;
	readonly log: Logger;
	readonly pushEvent: (event: JobEvent) => void;
	readonly node: string;
	readonly incarnation: string;
};
