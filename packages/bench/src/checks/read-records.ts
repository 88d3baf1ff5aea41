import {
	instanceRecordSchema, poolRecordSchema, storeKeys, type PoolRecord,
} from '@pistachiogauge/model';

type KeyValues = ReadonlyMap<string, {readonly value: string}>;

/** Reads the pool of an instance from its record in the store. */
export function readInstancePool(entries: KeyValues, instanceId: string): string | undefined {
	const stored = entries.get(`${storeKeys.instancesPrefix}${instanceId}`);
	return stored === undefined ? undefined : instanceRecordSchema.safeParse(JSON.parse(stored.value)).data?.pool;
}

/** Parses the record of a pool; undefined if it is absent or malformed. */
export function parsePoolRecord(value: string | undefined): PoolRecord | undefined {
	return value === undefined ? undefined : poolRecordSchema.safeParse(JSON.parse(value)).data;
}
