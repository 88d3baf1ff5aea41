import {
	instanceRecordSchema, poolRecordSchema, storeKeys, type PoolRecord,
} from '@pistachiogauge/model';

type Entries = ReadonlyMap<string, {readonly value: string}>;

/** Pool that an instance's record in the store names. */
export function readInstancePool(entries: Entries, instanceId: string): string | undefined {
	const stored = entries.get(`${storeKeys.instancesPrefix}${instanceId}`);
	return stored === undefined ? undefined : instanceRecordSchema.safeParse(JSON.parse(stored.value)).data?.pool;
}

/** Parses a pool's record. */
export function parsePoolRecord(value: string | undefined): PoolRecord | undefined {
	return value === undefined ? undefined : poolRecordSchema.safeParse(JSON.parse(value)).data;
}
