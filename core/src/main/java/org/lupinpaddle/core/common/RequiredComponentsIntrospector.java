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
package org.lupinpaddle.core.common;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedParameter;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import java.lang.reflect.RecordComponent;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Makes Jackson reject a record whose component is missing or null, unless the component is nullable. */
final class RequiredComponentsIntrospector extends JacksonAnnotationIntrospector {

    private static final long serialVersionUID = 1;

    @Override
    public JsonSetter.Value findSetterInfo(Annotated a) {
        return component(a).map(RequiredComponentsIntrospector::nullHandling).orElseGet(() -> super.findSetterInfo(a));
    }

    /** A collection that may be absent contains no nulls either. */
    private static JsonSetter.Value nullHandling(RecordComponent c) {
        boolean nullable = c.getAnnotatedType().isAnnotationPresent(Nullable.class);
        return JsonSetter.Value.construct(nullable ? Nulls.SET : Nulls.FAIL, Nulls.FAIL);
    }

    private static Optional<RecordComponent> component(Annotated a) {
        if (!(a instanceof AnnotatedParameter p) || !p.getDeclaringClass().isRecord()) {
            return Optional.empty();
        }
        RecordComponent[] all = p.getDeclaringClass().getRecordComponents();
        boolean canonical = p.getOwner().getParameterCount() == all.length;
        return canonical ? Optional.of(all[p.getIndex()]) : Optional.empty();
    }
}
