/** Prefix of all keys that the system uses in the platform's key-value service. @public */
export const storePrefix = '/pistachiogauge/';

/** Keys and key prefixes of the stored records. @public */
export const storeKeys = {
	epoch: `${storePrefix}epoch`,
	bundleHead: `${storePrefix}bundle/head`,
	membersPrefix: `${storePrefix}members/`,
	departedPrefix: `${storePrefix}departed/`,
	instancesPrefix: `${storePrefix}instances/`,
	poolsPrefix: `${storePrefix}pools/`,
	auditPrefix: `${storePrefix}audit/`,
	tasksPrefix: `${storePrefix}tasks/`,
	bundleTextsPrefix: `${storePrefix}bundle/text/`,
} as const;
