export {assignPools} from './assign-pools.js';
export {membershipFilter} from './membership-filter.js';
export {createMembershipState, type MembershipState} from './membership-state.js';
export {
	getMajority, getPoolPermission, getVouchedUntil, isHandingOver, isMember,
} from './permission.js';
