import {
	poolClaimPrefix, type EvacuatedEndpoint, type EvacuationRequest, type JobEvent, type JobEventOf, type PoolReport,
} from '@pistachiogauge/jobs';
import {type VirtualJobStore} from './virtual-job-store.js';

type WaveProgress = Pick<JobEventOf<'wave-progress-read'>, 'number' | 'maintained' | 'isDone'>;

/** The records that the holder of the fleet claim and the owners of pools exchange. */
export type VirtualFleetRecords = {
	/** Each write is done only while its claim holds. @returns Whether it was. */
	requestEvacuation(request: EvacuationRequest, fleetToken: number): boolean;
	withdrawEvacuation(pool: string, endpointId: string, fleetToken: number): boolean;
	confirmEvacuation(evacuated: EvacuatedEndpoint, poolToken: number): boolean;
	recordReport(report: PoolReport): void;
	/** @returns Whether the claim holds. */
	recordWaveProgress(progress: WaveProgress, fleetToken: number): boolean;
	/** Lists the events of a full listing for the holder of the fleet. */
	listForFleet(): readonly JobEvent[];
	/** The same for the owner of a pool, with what it knows of requests. */
	listForPool(pool: string, known: Iterable<EvacuationRequest>): readonly JobEvent[];
	/** Endpoints of a pool whose evacuation is confirmed and still requested. */
	listEvacuatedIds(pool: string): string[];
};

/** Creates the records; `publish` receives the changes that watches deliver. */
export function createVirtualFleetRecords(store: VirtualJobStore, publish: (changes: readonly JobEvent[]) => void): VirtualFleetRecords {
	const requests = new Map<string, EvacuationRequest>();
	const confirmations = new Map<string, EvacuatedEndpoint>();
	const reports = new Map<string, PoolReport>();
	const waves = new Map<number, WaveProgress>();
	const holdsFleet = (token: number) => store.claims.get('fleet')?.token === token;
	return {
		requestEvacuation(request, fleetToken) {
			if (!holdsFleet(fleetToken)) {
				return false;
			}

			requests.set(request.endpointId, request);
			publish([{kind: 'evacuation-requested', request}]);
			return true;
		},
		withdrawEvacuation(pool, endpointId, fleetToken) {
			if (!holdsFleet(fleetToken)) {
				return false;
			}

			requests.delete(endpointId);
			confirmations.delete(endpointId);
			publish([{kind: 'evacuation-withdrawn', pool, endpointId}]);
			return true;
		},
		confirmEvacuation(evacuated, poolToken) {
			if (store.claims.get(`${poolClaimPrefix}${evacuated.pool}`)?.token !== poolToken) {
				return false;
			}

			confirmations.set(evacuated.endpointId, evacuated);
			publish([{kind: 'endpoint-evacuated', evacuated}]);
			return true;
		},
		recordReport(report) {
			reports.set(report.pool, report);
			publish([{kind: 'report-changed', report}]);
		},
		recordWaveProgress(progress, fleetToken) {
			if (!holdsFleet(fleetToken)) {
				return false;
			}

			waves.set(progress.number, progress);
			return true;
		},
		listForFleet: () => [
			...[...reports.values()].map(report => ({kind: 'report-changed', report} as const)),
			...[...waves.values()].map(progress => ({kind: 'wave-progress-read', ...progress} as const)),
			...[...requests.values()].map(request => ({kind: 'evacuation-requested', request} as const)),
			...[...confirmations.values()].map(evacuated => ({kind: 'endpoint-evacuated', evacuated} as const)),
		],
		listForPool: (pool, known) => [
			...[...requests.values()].filter(request => request.pool === pool).map(request => ({kind: 'evacuation-requested', request} as const)),
			...[...known].filter(request => request.pool === pool && !requests.has(request.endpointId)).map(({endpointId}) => ({kind: 'evacuation-withdrawn', pool, endpointId} as const)),
		],
		listEvacuatedIds: pool => [...confirmations.values()]
			.filter(evacuated => evacuated.pool === pool && requests.get(evacuated.endpointId)?.requestId === evacuated.requestId)
			.map(({endpointId}) => endpointId),
	};
}
