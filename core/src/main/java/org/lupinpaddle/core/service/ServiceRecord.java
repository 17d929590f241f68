/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.core.service;

import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A service's availability budget, its members and its permits. They share one value so that one
 * compare-and-swap orders every permit, every added or removed member and every change of the budget. The
 * members are a subset of the instances that serve: an instance is added only once it is in service, and
 * removed before its pool changes.
 *
 * @param name the service's name
 * @param budget the minimum number of instances that must be available
 * @param reserve the instances kept available above the budget
 * @param members the ids of the instances counted for the service
 * @param permits the permits of members that are out on purpose, by instance id
 * @param retired whether the service accepts no more requests
 * @param operator the operator who last set the budget or the reserve
 * @param writeId the id of the write that made this value
 */
public record ServiceRecord(
        String name,
        int budget,
        Reserve reserve,
        SortedSet<String> members,
        SortedMap<String, Permit> permits,
        boolean retired,
        String operator,
        String writeId) {

    /** Returns a new service without members. */
    public static ServiceRecord create(String name, int budget, Reserve reserve, String operator, String writeId) {
        return new ServiceRecord(name, budget, reserve, new TreeSet<>(), new TreeMap<>(), false, operator, writeId);
    }

    /** Returns the number of members that have no permit and have not failed. */
    public int available(Set<String> failed) {
        return (int) members.stream()
                .filter(m -> !permits.containsKey(m) && !failed.contains(m))
                .count();
    }

    /** Returns whether the instance may be drained while at least {@code minAvailable} members stay available. */
    public boolean canRelease(String instance, Set<String> failed, int minAvailable) {
        if (!members.contains(instance) || permits.containsKey(instance)) {
            return false;
        }
        int cost = failed.contains(instance) ? 0 : 1;
        return available(failed) - cost >= minAvailable;
    }

    /** Returns the record with the permit added. */
    public ServiceRecord withPermit(Permit permit, String newWriteId) {
        SortedMap<String, Permit> all = new TreeMap<>(permits);
        all.put(permit.instance(), permit);
        return new ServiceRecord(name, budget, reserve, members, all, retired, operator, newWriteId);
    }

    /** Returns the record without the instance's permit; the instance stays a member. */
    public ServiceRecord withoutPermit(String instance, String newWriteId) {
        SortedMap<String, Permit> all = new TreeMap<>(permits);
        all.remove(instance);
        return new ServiceRecord(name, budget, reserve, members, all, retired, operator, newWriteId);
    }

    /** Returns the record with the instance as a member. */
    public ServiceRecord withMember(String instance, String newWriteId) {
        SortedSet<String> all = new TreeSet<>(members);
        all.add(instance);
        return new ServiceRecord(name, budget, reserve, all, permits, retired, operator, newWriteId);
    }

    /** Returns the record without the instance and its permit. */
    public ServiceRecord withoutMember(String instance, String newWriteId) {
        SortedSet<String> all = new TreeSet<>(members);
        all.remove(instance);
        SortedMap<String, Permit> left = new TreeMap<>(permits);
        left.remove(instance);
        return new ServiceRecord(name, budget, reserve, all, left, retired, operator, newWriteId);
    }

    /** Returns the record with another budget and reserve. */
    public ServiceRecord withBudget(int newBudget, Reserve newReserve, String by, String newWriteId) {
        return new ServiceRecord(name, newBudget, newReserve, members, permits, retired, by, newWriteId);
    }

    /** Returns the record marked as retired. */
    public ServiceRecord asRetired(String by, String newWriteId) {
        return new ServiceRecord(name, budget, reserve, members, permits, true, by, newWriteId);
    }
}
