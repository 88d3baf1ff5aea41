export {assignPools} from './assign-pools.js';
export {membershipFilter} from './membership-filter.js';
export {createMembershipState, type MembershipState} from './membership-state.js';
export {
	getMajoritySize, getPoolPermissionExpiry, getVoucherExpiry, isHandingOver, isMember,
} from './permission.js';
